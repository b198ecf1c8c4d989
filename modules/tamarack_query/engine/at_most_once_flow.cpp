#include "at_most_once_flow.h"

#include "../run/answer_builder.h"
#include "../versions/version_candidates.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr duration late_reply_timeout = 2s;

} // namespace

void at_most_once_flow::start(query_run& run) {
    m_core.table.refresh_versions(*run.service, m_core.now);
    if (!choose_shard(run)) {
        return;
    }
    m_core.wake(run, run.answer_deadline);
    run.content_proven = m_core.completed.contains(run.content.hash);
    run.claim_attempt = m_core.random.next();
    if (!m_core.options.protections.claim_before_sending) {
        send_claimed(run);
        return;
    }
    run.at_most_once = at_most_once_progress::claiming;
    claim wanted;
    wanted.service = run.request.service;
    wanted.key = run.request.at_most_once.key;
    wanted.content =
        digest_of(run.request.service.value() + '\n' + run.request.only_shard.value() + '\n' + *run.body);
    wanted.issued_at = run.request.at_most_once.issued_at;
    wanted.host = m_core.self;
    wanted.incarnation = m_core.incarnation;
    wanted.attempt = run.claim_attempt;
    const time_point until = std::min(run.answer_deadline, m_core.now + m_core.options.claim_timeout);
    m_core.out.emplace_back(commit_claim{run.request.number, std::move(wanted), until});
}

bool at_most_once_flow::choose_shard(query_run& run) {
    const version_candidate* chosen = choose_version(run.service->versions, 0.0);
    if (chosen == nullptr) {
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::no_common_version);
        return false;
    }
    const auto& shards = chosen->shards;
    const shard_id& wanted = run.request.only_shard;
    const bool known = std::find(shards.begin(), shards.end(), wanted) != shards.end();
    if (!known && !(wanted.empty() && shards.size() == 1)) {
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::unknown_shard);
        return false;
    }
    run.version = chosen->offered;
    run.generation = 1;
    run.shards.resize(1);
    run.shards.front().shard = &run.service->shards[wanted.empty() ? shards.front() : wanted];
    return true;
}

void at_most_once_flow::on_claim_answer(query_run& run, const claim_answer& answer) {
    if (run.at_most_once != at_most_once_progress::claiming) {
        return;
    }
    run.at_most_once = at_most_once_progress::claimed;
    run.claim_granted = answer.verdict == claim_verdict::granted;
    if (run.answered) {
        end_unanswered(run);
    } else if (run.claim_granted) {
        send_claimed(run);
    } else {
        on_verdict(run, answer);
    }
}

void at_most_once_flow::send_claimed(query_run& run) {
    run.at_most_once = at_most_once_progress::claimed;
    if (!run.content_proven && m_core.crashes.try_expose(run.content)) {
        ++run.exposed;
    }
    m_dispatcher.send_or_queue(run, 0, attempt_kind::first);
}

void at_most_once_flow::on_verdict(query_run& run, const claim_answer& answer) {
    switch (answer.verdict) {
    case claim_verdict::finished:
        answer_finished(run, answer);
        return;
    case claim_verdict::conflict:
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::key_conflict);
        return;
    case claim_verdict::expired:
        m_answer_sender.refuse(run, request_outcome::unknown, refusal_reason::key_expired);
        return;
    case claim_verdict::full:
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::claim_unavailable);
        return;
    case claim_verdict::running:
    case claim_verdict::granted:
        m_answer_sender.refuse(run, request_outcome::unknown, refusal_reason::key_running);
        return;
    }
}

void at_most_once_flow::answer_finished(query_run& run, const claim_answer& answer) {
    if (answer.result == run_result::answered && !answer.reply_is_digest) {
        shard_run& part = run.shards.front();
        part.progress = shard_progress::covered;
        part.body = answer.reply;
        part.stated_version = run.version.version;
        m_answer_sender.send(run, build_answer(run, m_core.ticket));
        return;
    }
    const bool not_run = answer.result == run_result::not_run;
    m_answer_sender.refuse(run, not_run ? request_outcome::not_run : request_outcome::unknown,
                           not_run ? refusal_reason::target_refused : refusal_reason::key_unknown);
}

void at_most_once_flow::on_claim_failed(query_run& run) {
    if (run.at_most_once != at_most_once_progress::claiming) {
        return;
    }
    run.at_most_once = at_most_once_progress::claimed;
    run.claim_granted = true;
    end(run, run_result::not_run, {}, refusal_reason::claim_unavailable);
}

void at_most_once_flow::on_live(query_run& run, connection& proven) {
    if (run.answered || proven.target->slots_taken > proven.target->view.slots) {
        m_dispatcher.free_slot(*proven.target);
        const replica_pointer target = proven.target;
        m_core.pool.release(proven);
        m_core.pool.trim(*target, m_core.out);
        on_probe_lost(run);
        return;
    }
    require_invariant(run.at_most_once == at_most_once_progress::probing,
                      "a non-idempotent request is sent once, after its probe");
    run.at_most_once = at_most_once_progress::sent;
    m_dispatcher.send_probed(run, proven);
}

void at_most_once_flow::on_probe_lost(query_run& run) {
    run.at_most_once = at_most_once_progress::claimed;
    if (run.answered) {
        end_unanswered(run);
        return;
    }
    run.shards.front().progress = shard_progress::held_back;
    m_dispatcher.send_or_queue(run, 0, attempt_kind::first);
}

void at_most_once_flow::on_reply(query_run& run, exchange_reply reply) {
    switch (reply.status) {
    case exchange_status::completed: {
        shard_run& part = run.shards.front();
        part.progress = shard_progress::covered;
        part.stated_version = std::move(reply.version);
        part.body = std::move(reply.body);
        m_core.completed.add(run.content.hash);
        m_core.crashes.on_completed(run.content.hash);
        end(run, run_result::answered, part.body, refusal_reason::none);
        return;
    }
    case exchange_status::shed:
    case exchange_status::draining:
    case exchange_status::version_gone:
        end(run, run_result::not_run, {}, refusal_reason::target_refused);
        return;
    case exchange_status::failed:
    case exchange_status::cancelled:
        end(run, run_result::unknown, {}, refusal_reason::target_failed);
        return;
    case exchange_status::malformed:
        end(run, run_result::unknown, {}, refusal_reason::connection_lost);
        return;
    }
}

void at_most_once_flow::on_lost(query_run& run) {
    end(run, run_result::unknown, {}, refusal_reason::connection_lost);
}

void at_most_once_flow::on_wake(query_run& run) {
    if (m_core.now < run.answer_deadline) {
        m_core.wake(run, run.answer_deadline);
        return;
    }
    if (run.at_most_once == at_most_once_progress::sent && !run.answered) {
        m_answer_sender.send_and_keep_running(run, build_refusal(run, m_core.ticket, request_outcome::unknown,
                                                                 refusal_reason::deadline_passed,
                                                                 m_answer_sender.retry_after(run.service)));
        m_core.wake(run, run.answer_deadline + late_reply_timeout);
    } else if (run.at_most_once == at_most_once_progress::sent) {
        m_answer_sender.abandon_attempts(run);
        end_unanswered(run);
    } else if (run.at_most_once == at_most_once_progress::claimed && !run.answered) {
        end(run, run_result::not_run, {}, refusal_reason::deadline_passed);
    } else if (!run.answered) {
        m_answer_sender.send_and_keep_running(run, build_refusal(run, m_core.ticket, request_outcome::not_run,
                                                                 refusal_reason::deadline_passed,
                                                                 m_answer_sender.retry_after(run.service)));
    }
}

void at_most_once_flow::end(query_run& run, run_result result, const std::string& reply,
                            refusal_reason reason) {
    if (run.claim_granted) {
        record(run, result, reply);
    }
    if (run.answered) {
        m_answer_sender.remove(run);
    } else if (result == run_result::answered) {
        m_answer_sender.send(run, build_answer(run, m_core.ticket));
    } else {
        const bool not_run = result == run_result::not_run;
        m_answer_sender.refuse(run, not_run ? request_outcome::not_run : request_outcome::unknown, reason);
    }
}

void at_most_once_flow::end_unanswered(query_run& run) {
    const bool sent = run.at_most_once == at_most_once_progress::sent;
    end(run, sent ? run_result::unknown : run_result::not_run, {}, refusal_reason::deadline_passed);
}

void at_most_once_flow::record(const query_run& run, run_result result, const std::string& reply) {
    require_invariant(result != run_result::not_run || run.possibly_run == 0,
                      "a request recorded as not run has no exchange that may have run");
    m_core.out.emplace_back(record_claim_result{
        {run.request.service, run.request.at_most_once.key, run.claim_attempt, result, reply}});
}

} // namespace tamarack
