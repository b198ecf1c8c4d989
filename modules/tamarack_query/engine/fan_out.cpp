#include "fan_out.h"

#include "../versions/version_candidates.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::uint32_t max_version_moves = 2;
constexpr duration budget_poll = 10ms;

} // namespace

void fan_out::start(query_run& run) {
    m_core.table.refresh_versions(*run.service, m_core.now);
    const version_candidate* chosen = choose_version(run.service->versions, run.least_coverage());
    if (chosen == nullptr) {
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::no_common_version);
        return;
    }
    restart(run, *chosen);
}

void fan_out::restart(query_run& run, const version_candidate& chosen) {
    run.version = chosen.offered;
    ++run.generation;
    run.shards.clear();
    for (const auto& id : chosen.shards) {
        if (run.request.only_shard.empty() || run.request.only_shard == id) {
            run.shards.emplace_back();
            run.shards.back().shard = &run.service->shards[id];
        }
    }
    if (run.shards.empty()) {
        m_answer_sender.refuse(run, answer_sender::outcome_without_answer(run),
                               refusal_reason::unknown_shard);
        return;
    }
    m_core.wake(run, run.answer_deadline);
    if (run.service->definition.preference == service_preference::latency) {
        m_core.wake(run, run.started_at + run.service->definition.objectives.latency);
    }
    send_first_parts(run);
}

void fan_out::send_first_parts(query_run& run) {
    const bool known_as_completed =
        !m_core.options.protections.quarantine || m_core.completed.contains(run.content.hash);
    run.content_proven = run.content_proven || known_as_completed;
    send_held_back(run, run.content_proven ? run.shards.size() : m_core.policies.canaries);
    advance(run);
}

void fan_out::on_content_changed(query_run& run) {
    run.waits_for_content = false;
    if (run.answered) {
        return;
    }
    if (m_core.completed.contains(run.content.hash)) {
        run.content_proven = true;
        send_held_back(run, run.shards.size());
    } else if (m_core.crashes.is_suspected(run.content.hash)) {
        m_answer_sender.refuse(run, answer_sender::outcome_without_answer(run), refusal_reason::quarantined);
        return;
    }
    advance(run);
}

bool fan_out::expose_if_allowed(query_run& run) {
    if (run.content_proven) {
        return true;
    }
    if (!m_core.crashes.try_expose(run.content)) {
        return false;
    }
    ++run.exposed;
    return true;
}

void fan_out::send_held_back(query_run& run, std::size_t at_most) {
    const std::size_t count = run.shards.size();
    const std::size_t offset = at_most < count ? m_core.random.below(count) : 0;
    std::size_t sent = 0;
    for (std::size_t step = 0; step < count && sent < at_most; ++step) {
        const std::size_t index = (step + offset) % count;
        shard_run& part = run.shards[index];
        if (part.progress != shard_progress::held_back) {
            continue;
        }
        const bool held =
            std::any_of(part.shard->replicas.begin(), part.shard->replicas.end(), [&](const auto& target) {
                return target->listed && !target->leaving && target->holds(run.version, m_core.now);
            });
        if (!held) {
            mark_missing(run, index,
                         part.shard->replicas.empty() ? missing_reason::no_replica
                                                      : missing_reason::version_lost);
            continue;
        }
        if (!expose_if_allowed(run)) {
            return;
        }
        if (!run.content_proven && sent > 0) {
            send_second_canary(run, index);
            return;
        }
        m_dispatcher.send_or_queue(run, index,
                                   run.generation == 1 ? attempt_kind::first : attempt_kind::retry);
        ++sent;
    }
}

void fan_out::send_second_canary(query_run& run, std::size_t shard_index) {
    const attempt_kind kind = run.generation == 1 ? attempt_kind::first : attempt_kind::retry;
    if (!m_dispatcher.try_send(run, shard_index, kind)) {
        m_core.end_exposure(run);
    }
}

void fan_out::on_part(query_run& run, std::size_t shard_index, exchange_reply reply) {
    shard_run& part = run.shards[shard_index];
    for (const auto& unneeded : part.attempts) {
        m_dispatcher.abandon(unneeded);
    }
    part.attempts.clear();
    part.progress = shard_progress::covered;
    part.hedge_at = time_point::max();
    part.stated_version = std::move(reply.version);
    part.body = std::move(reply.body);
    if (!run.content_proven) {
        mark_content_proven(run);
    }
    advance(run);
}

void fan_out::mark_content_proven(query_run& run) {
    run.content_proven = true;
    m_core.completed.add(run.content.hash);
    while (run.exposed > 0) {
        m_core.end_exposure(run);
    }
    m_core.crashes.on_completed(run.content.hash);
    send_held_back(run, run.shards.size());
}

void fan_out::on_failed(query_run& run, std::size_t shard_index, missing_reason reason) {
    retry(run, shard_index, reason);
    advance(run);
}

void fan_out::retry(query_run& run, std::size_t shard_index, missing_reason reason) {
    shard_run& part = run.shards[shard_index];
    if (!part.attempts.empty()) {
        return;
    }
    part.hedge_at = time_point::max();
    const bool has_other_replica = has_untried_replica(run, part);
    if (has_other_replica && run.service->budget.try_spend()) {
        if (expose_if_allowed(run)) {
            m_dispatcher.send_or_queue(run, shard_index, attempt_kind::retry);
            return;
        }
        run.service->budget.refund();
    }
    if (has_other_replica && run.service->definition.preference == service_preference::coverage) {
        wait_for_budget(run, part, reason);
        return;
    }
    mark_missing(run, shard_index, reason);
}

void fan_out::wait_for_budget(query_run& run, shard_run& part, missing_reason reason) {
    part.progress = shard_progress::awaiting_budget;
    part.reason = reason;
    part.hedge_at = m_core.now + budget_poll;
    m_core.wake(run, part.hedge_at);
}

bool fan_out::has_untried_replica(const query_run& run, const shard_run& part) const {
    return std::any_of(part.shard->replicas.begin(), part.shard->replicas.end(), [&](const auto& target) {
        const bool tried =
            std::find(part.tried.begin(), part.tried.end(), target->number) != part.tried.end();
        return !tried && target->usable(m_core.now) && target->holds(run.version, m_core.now);
    });
}

void fan_out::mark_missing(query_run& run, std::size_t shard_index, missing_reason reason) {
    shard_run& part = run.shards[shard_index];
    part.progress = shard_progress::missing;
    part.reason = reason;
    part.hedge_at = time_point::max();
}

void fan_out::advance(query_run& run) {
    if (run.answered) {
        return;
    }
    const std::size_t active = run.count(shard_progress::running) + run.count(shard_progress::waiting) +
                               run.count(shard_progress::awaiting_budget);
    const std::size_t held_back = run.count(shard_progress::held_back);
    if (run.possible_coverage() < run.least_coverage() || run.possible_coverage() == 0.0) {
        m_answer_sender.finish(run, refusal_reason::coverage_too_low);
    } else if (has_sufficient_coverage(run)) {
        m_answer_sender.finish(run, refusal_reason::none);
    } else if (active == 0 && held_back > 0) {
        continue_held_back(run);
    } else if (active == 0) {
        m_answer_sender.finish(run, run.connections_lost > 0 ? refusal_reason::connection_lost
                                                             : refusal_reason::coverage_too_low);
    }
}

void fan_out::continue_held_back(query_run& run) {
    if (m_core.crashes.is_suspected(run.content.hash)) {
        m_answer_sender.refuse(run, answer_sender::outcome_without_answer(run), refusal_reason::quarantined);
        return;
    }
    const std::size_t held_back = run.count(shard_progress::held_back);
    send_held_back(run, 1);
    if (run.count(shard_progress::held_back) < held_back) {
        advance(run);
    } else if (!run.waits_for_content) {
        run.waits_for_content = true;
        m_core.crashes.add_waiting(run.content.hash, run.request.number);
    }
}

void fan_out::on_version_gone(query_run& run, std::size_t shard_index) {
    shard_run& part = run.shards[shard_index];
    if (has_untried_replica(run, part) || !part.attempts.empty()) {
        on_failed(run, shard_index, missing_reason::version_lost);
        return;
    }
    if (!move_to_other_version(run)) {
        mark_missing(run, shard_index, missing_reason::version_lost);
        advance(run);
    }
}

bool fan_out::move_to_other_version(query_run& run) {
    if (run.generation > max_version_moves) {
        return false;
    }
    m_core.table.refresh_versions(*run.service, m_core.now);
    const version_candidate* chosen = choose_version(run.service->versions, run.least_coverage());
    if (chosen == nullptr || chosen->offered == run.version || chosen->held_shards < chosen->shards.size()) {
        return false;
    }
    const std::size_t exchanges_needed = chosen->shards.size();
    std::size_t granted = 0;
    while (granted < exchanges_needed && run.service->budget.try_spend()) {
        ++granted;
    }
    if (granted < exchanges_needed) {
        for (; granted > 0; --granted) {
            run.service->budget.refund();
        }
        return false;
    }
    for (auto& part : run.shards) {
        for (const auto& running : part.attempts) {
            m_dispatcher.abandon(running);
        }
    }
    const version_candidate wanted = *chosen;
    restart(run, wanted);
    return true;
}

void fan_out::on_wake(query_run& run) {
    if (m_core.now >= run.answer_deadline) {
        m_answer_sender.finish(run, refusal_reason::deadline_passed);
        return;
    }
    if (has_sufficient_coverage(run)) {
        m_answer_sender.finish(run, refusal_reason::none);
        return;
    }
    hedge_due(run);
}

bool fan_out::has_sufficient_coverage(const query_run& run) const {
    const service_definition& service = run.service->definition;
    const bool late = m_core.now >= run.started_at + service.objectives.latency;
    const double coverage = run.coverage();
    return service.preference == service_preference::latency && late && coverage > 0.0 &&
           coverage >= run.least_coverage();
}

void fan_out::hedge_due(query_run& run) {
    time_point next = run.answer_deadline;
    for (std::size_t index = 0; index < run.shards.size(); ++index) {
        if (run.shards[index].hedge_at <= m_core.now) {
            hedge(run, index);
        }
        next = std::min(next, run.shards[index].hedge_at);
    }
    m_core.wake(run, next);
    advance(run);
}

void fan_out::hedge(query_run& run, std::size_t shard_index) {
    shard_run& part = run.shards[shard_index];
    part.hedge_at = time_point::max();
    if (part.progress == shard_progress::awaiting_budget) {
        retry(run, shard_index, part.reason);
        return;
    }
    const bool has_other_replica = part.attempts.size() < part.shard->replicas.size();
    const bool wanted = part.progress == shard_progress::running && has_other_replica &&
                        m_dispatcher.load_scale(*run.service) > 0.0;
    if (!wanted || !run.service->budget.try_spend()) {
        return;
    }
    if (!expose_if_allowed(run)) {
        run.service->budget.refund();
    } else if (m_dispatcher.try_send(run, shard_index, attempt_kind::hedge)) {
        return;
    } else if (run.content_proven) {
        m_dispatcher.queue_hedge(run, shard_index);
    } else {
        m_core.end_exposure(run);
        run.service->budget.refund();
    }
}

} // namespace tamarack
