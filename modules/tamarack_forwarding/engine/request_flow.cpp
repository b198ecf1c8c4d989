#include "request_flow.h"

#include "caller_check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack {

namespace {

void remove_exchange(run_part& part, target_connection connection) {
    std::erase_if(part.exchanges,
                  [connection](const running_exchange& running) { return running.connection == connection; });
}

} // namespace

void request_flow::on_arrival(forward_request request) {
    ++m_core.statistics.requests;
    start(std::move(request), std::nullopt);
}

void request_flow::on_admitted(admitted_request waited) {
    start(std::move(waited.request), waited.arrived);
}

void request_flow::start(forward_request request, std::optional<time_point> arrived) {
    if (!m_core.index) {
        m_answers.refuse_unrouted(std::move(request), forward_outcome::not_run,
                                  forward_reason::no_configuration, m_core.options.no_configuration_retry);
        return;
    }
    const route* selected = m_core.index->find(request.authority, request.path);
    if (selected == nullptr) {
        m_answers.refuse_unrouted(std::move(request), forward_outcome::invalid, forward_reason::no_route,
                                  duration{0});
        return;
    }
    const caller_verdict caller = check_caller(m_core, *selected, request.credentials);
    if (caller.reason != forward_reason::none) {
        const bool other_host_may_serve = caller.reason == forward_reason::no_lease;
        m_answers.refuse_unrouted(std::move(request), caller.outcome, caller.reason,
                                  other_host_may_serve ? m_core.options.no_lease_retry : duration{0});
        return;
    }
    if (!arrived && m_admission.holds_back(request, *selected, caller)) {
        return;
    }
    const forward_number number = request.number;
    require_invariant(!m_core.runs.contains(number), "a request's number is used once");
    forwarding_run& run = *(m_core.runs[number] = std::make_unique<forwarding_run>());
    run.request = std::move(request);
    run.content = std::make_shared<sent_content>();
    run.content->request = run.request.id;
    run.content->payload = run.request.payload;
    run.table = m_core.index->table();
    run.selected_route = selected;
    run.holder = caller.holder;
    run.needs_lease = caller.needs_lease;
    run.priority =
        caller.holder != nullptr ? caller.holder->priority.value_or(selected->priority) : selected->priority;
    run.arrived = arrived.value_or(m_core.now);
    run.times = compute_request_times(*selected, run.arrived, run.request.remaining_time);
    run.timing = &m_core.timing_of(*selected);
    run.trace.ticket = m_core.view->ticket;
    run.trace.route = selected->name;
    run.trace.objective_left = run.times.objective_at - m_core.now;
    make_parts(run);
    run.trace.shards = run.parts.size();
    if (m_core.judge(run) == crash_verdict::refused) {
        m_answers.refuse_crashing(run);
        return;
    }
    if (!can_be_covered(run)) {
        m_answers.failed(run, is_limited(run)                  ? forward_reason::targets_limited
                              : m_answers.until_coverable(run) ? forward_reason::targets_in_backoff
                                                               : forward_reason::no_target);
        return;
    }
    if (!is_admitted(run)) {
        return;
    }
    m_core.trace(run, trace_step::routed, run.parts.front().service->id, nullptr, selected->name,
                 run.parts.size());
    drop_overloaded_parts(run);
    for (std::size_t index = 0; index < run.parts.size(); ++index) {
        run_part& part = run.parts[index];
        part.service->budget->on_request(m_core.now);
        if (part.progress != part_progress::missing && !is_servable(run, part)) {
            give_up(run, part, "no_target");
        }
        if (part.progress != part_progress::missing) {
            m_dispatcher.send_or_wait(run, index, trace_step::sent);
        }
    }
    m_core.wake(run, run.times.answer_deadline);
    if (run.times.objective_at > m_core.now) {
        m_core.wake(run, run.times.objective_at);
    }
}

void request_flow::make_parts(forwarding_run& run) {
    const auto add = [&](const service_id& id) {
        run_part part;
        part.service = m_core.services.at(id);
        run.parts.push_back(std::move(part));
    };
    if (run.selected_route->destination == route_destination::split) {
        add(run.selected_route->services[m_core.splits.next(*run.selected_route)].service);
        return;
    }
    run.parts.reserve(run.selected_route->services.size());
    for (const route_service& part : run.selected_route->services) {
        add(part.service);
    }
}

/**
 * Failure pattern: a target runs a request that must not be repeated, fails, and answers with the status of a
 * refusal, which its caller would take for permission to repeat it.
 */
void request_flow::on_reply(forwarding_run& run, std::size_t part_index, target_connection connection,
                            target_reply reply) {
    run_part& part = run.parts[part_index];
    trace_end(run, part, connection, trace_step::reply,
              reply.denies_execution ? "failed_denying_execution" : std::string{to_name(reply.verdict)});
    remove_exchange(part, connection);
    switch (reply.verdict) {
    case target_verdict::completed:
        cover(run, part, std::move(reply));
        break;
    case target_verdict::not_run:
    case target_verdict::wrong_target:
        ++run.not_run;
        --part.possible_runs;
        retry_or_give_up(run, part_index, true, "not_run");
        break;
    case target_verdict::failed:
        // A caller that is told that its request has not run may repeat it, and this one may have run.
        if (!part.failure && !reply.denies_execution) {
            part.failure = std::move(reply);
        }
        retry_or_give_up(run, part_index, false, "failed");
        break;
    case target_verdict::malformed:
        ++run.lost;
        retry_or_give_up(run, part_index, false, "malformed");
        break;
    }
    answer_if_due(run);
}

/** Traces the end of an exchange, with its target. */
void request_flow::trace_end(forwarding_run& run, const run_part& part, target_connection connection,
                             trace_step step, std::string result) const {
    const auto running =
        std::find_if(part.exchanges.begin(), part.exchanges.end(),
                     [connection](const running_exchange& item) { return item.connection == connection; });
    if (running != part.exchanges.end()) {
        m_core.trace(run, step, part.service->id, running->target.get(), std::move(result), 0, connection);
    }
}

/**
 * Failure pattern: a target is restarted, or resets connections beyond its limit, just before requests are
 * written to connections that this host still considers open.
 */
void request_flow::on_lost(forwarding_run& run, std::size_t part_index, target_connection connection,
                           std::string cause, bool unsent) {
    run_part& part = run.parts[part_index];
    trace_end(run, part, connection, trace_step::lost, std::move(cause));
    remove_exchange(part, connection);
    if (unsent) {
        ++run.not_run;
        --part.possible_runs;
    } else {
        ++run.lost;
    }
    retry_or_give_up(run, part_index, unsent, "connection_lost");
    answer_if_due(run);
}

void request_flow::cover(forwarding_run& run, run_part& part, target_reply reply) {
    for (const running_exchange& superseded : part.exchanges) {
        m_core.trace(run, trace_step::abandoned, part.service->id, superseded.target.get(), {}, 0,
                     superseded.connection);
        m_dispatcher.abandon(superseded);
    }
    part.exchanges.clear();
    part.progress = part_progress::covered;
    part.queued = false;
    part.charge.reset();
    part.hedge_at = time_point::max();
    if (!run.merges()) {
        m_answers.reply(run, std::move(reply));
        return;
    }
    part.token = std::move(reply.token);
    part.body = std::move(reply.body);
}

bool request_flow::charge_extra_exchange(forwarding_run& run, run_part& part) {
    m_core.schedule_extra_load_report();
    if (!m_core.options.protections.limit_extra_load) {
        return true;
    }
    if (part.service->budget->try_open(m_core.now, m_core.allowance_now())) {
        part.charge = std::make_shared<extra_exchange_charge>(part.service->budget, m_core.now);
        return true;
    }
    ++m_core.statistics.refused_by_budget;
    ++part.service->refused_extra_exchanges;
    m_core.trace(run, trace_step::no_budget, part.service->id, nullptr);
    return false;
}

void request_flow::retry_or_give_up(forwarding_run& run, std::size_t part_index, bool did_not_run,
                                    const char* cause) {
    run_part& part = run.parts[part_index];
    if (run.ended || part.progress == part_progress::covered || !part.exchanges.empty() || part.queued) {
        return;
    }
    part.hedge_at = time_point::max();
    const bool at_most_once = run.selected_route->repeats == repeatability::at_most_once &&
                              m_core.options.protections.enforce_at_most_once;
    const bool may_repeat = did_not_run || !at_most_once;
    const bool retries = m_core.uses(forwarding_mechanism::retries);
    const bool in_time =
        m_core.now < run.times.answer_deadline && part.possible_runs < run.selected_route->attempts;
    if (!retries || !may_repeat || !in_time || !m_core.may_send(run) ||
        !m_dispatcher.has_untried(part, run.latest_send(m_core.now))) {
        give_up(run, part, cause);
        return;
    }
    if (m_core.judge(run) != crash_verdict::clear) {
        m_dispatcher.defer(run, part);
        return;
    }
    if (!charge_extra_exchange(run, part)) {
        give_up(run, part, "no_budget");
        return;
    }
    ++m_core.statistics.retries;
    ++run.trace.retries;
    m_dispatcher.send_or_wait(run, part_index, trace_step::retried);
}

void request_flow::review_deferred() {
    for (const forward_number number : std::set<forward_number>{m_core.deferred_requests}) {
        if (forwarding_run* run = m_core.find_run(number)) {
            review_deferred(*run);
            answer_if_due(*run);
        }
    }
}

void request_flow::review_deferred(forwarding_run& run) {
    const crash_verdict verdict = m_core.judge(run);
    const bool undecided =
        verdict == crash_verdict::unconfirmed || (verdict != crash_verdict::clear && run.is_under_way());
    if (undecided) {
        return;
    }
    m_core.deferred_requests.erase(run.request.number);
    if (verdict == crash_verdict::refused && !run.may_have_run()) {
        m_answers.refuse_crashing(run);
        return;
    }
    for (std::size_t index = 0; index < run.parts.size(); ++index) {
        run_part& part = run.parts[index];
        if (part.progress != part_progress::deferred) {
            continue;
        }
        if (verdict == crash_verdict::clear) {
            retry_or_give_up(run, index, false, "connection_lost");
        } else {
            m_core.report_crash_step(crash_step::withheld, run);
            give_up(run, part, "crashes_targets");
        }
    }
}

void request_flow::give_up(forwarding_run& run, run_part& part, const char* cause) {
    part.progress = part_progress::missing;
    m_core.trace(run, trace_step::given_up, part.service->id, nullptr, cause);
}

void request_flow::hedge(forwarding_run& run, std::size_t part_index) {
    run_part& part = run.parts[part_index];
    part.hedge_at = time_point::max();
    const bool wanted = m_core.uses(forwarding_mechanism::hedges) && m_core.may_send(run) &&
                        part.progress == part_progress::running &&
                        part.possible_runs < run.selected_route->attempts &&
                        run.selected_route->repeats != repeatability::at_most_once &&
                        m_dispatcher.has_untried(part, m_core.now);
    if (wanted && m_core.judge(run) != crash_verdict::clear) {
        m_core.report_crash_step(crash_step::withheld, run);
        return;
    }
    if (!wanted || !charge_extra_exchange(run, part)) {
        return;
    }
    ++m_core.statistics.hedges;
    ++run.trace.hedges;
    if (!m_dispatcher.try_send(run, part_index, trace_step::hedged)) {
        waiting_part item = m_dispatcher.describe_wait(run, part_index, trace_step::hedged);
        item.work = 0.0; // hedges have a budget of their own
        part.queued = true;
        part.service->waiting.push_front(std::move(item));
    }
}

/** @return whether a target may get a waiting part in time */
bool request_flow::may_be_sent(const forwarding_run& run, const run_part& part) const {
    return (part.tried.empty() && m_dispatcher.has_available(*part.service)) || is_servable(run, part);
}

void request_flow::give_up_unservable(engine_service& service) {
    for (auto item = service.waiting.begin(); item != service.waiting.end();) {
        forwarding_run* run = m_core.find_run(item->request);
        const bool wanted = run != nullptr && !run->ended && run->parts[item->part].queued;
        if (wanted && may_be_sent(*run, run->parts[item->part])) {
            ++item;
            continue;
        }
        const std::size_t part_index = item->part;
        item = service.waiting.erase_withdrawn(item);
        if (!wanted) {
            continue;
        }
        run_part& part = run->parts[part_index];
        part.queued = false;
        part.charge.reset();
        if (part.exchanges.empty()) {
            give_up(*run, part, "no_target");
        }
        answer_if_due(*run);
    }
}

void request_flow::on_wake(forwarding_run& run) {
    run.wake_at = time_point::max();
    time_point next = run.times.answer_deadline;
    if (run.times.objective_at > m_core.now) {
        next = std::min(next, run.times.objective_at);
    }
    for (std::size_t index = 0; index < run.parts.size(); ++index) {
        if (run.parts[index].hedge_at <= m_core.now) {
            hedge(run, index);
        }
        next = std::min(next, run.parts[index].hedge_at);
    }
    answer_if_due(run);
    if (!run.ended) {
        m_core.wake(run, std::max(next, m_core.now + duration{1}));
    }
}

void request_flow::answer_if_due(forwarding_run& run) {
    if (run.ended) {
        return;
    }
    const std::size_t covered = run.count(part_progress::covered);
    const std::size_t missing = run.count(part_progress::missing);
    const std::size_t open = run.parts.size() - covered - missing;
    const bool enough = run.merges() && run.covers_enough(covered);
    if (enough && (open == 0 || m_core.now >= run.times.objective_at)) {
        m_answers.merged(run);
        return;
    }
    if (!run.covers_enough(covered + open)) {
        run_part& part = run.parts.front();
        if (!run.merges() && part.failure) {
            m_answers.reply(run, std::move(*part.failure));
            return;
        }
        const forward_reason cause = !run.may_have_run() ? forward_reason::targets_refused
                                     : run.lost > 0      ? forward_reason::connection_lost
                                                         : forward_reason::targets_failed;
        m_answers.failed(run, cause);
        return;
    }
    const bool unsent =
        run.sent == 0 && m_core.now >= run.times.objective_at && run.times.objective_at > run.arrived;
    if (m_core.now >= run.times.answer_deadline || unsent) {
        m_answers.failed(run, run.may_have_run() ? forward_reason::timed_out : forward_reason::overloaded);
    }
}

void request_flow::on_caller_gone(forwarding_run& run) {
    forward_answer answer;
    answer.outcome = run.may_have_run() ? forward_outcome::unknown : forward_outcome::not_run;
    answer.reason = forward_reason::caller_gone;
    m_answers.finish(run, std::move(answer));
}

} // namespace tamarack
