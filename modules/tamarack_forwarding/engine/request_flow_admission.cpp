#include "request_flow.h"

#include "../admission/admission.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarack {

bool request_flow::can_be_covered(const forwarding_run& run) const {
    const auto reachable = std::count_if(run.parts.begin(), run.parts.end(),
                                         [&](const run_part& part) { return is_servable(run, part); });
    return run.covers_enough(static_cast<std::size_t>(reachable));
}

bool request_flow::is_limited(const forwarding_run& run) const {
    return std::any_of(run.parts.begin(), run.parts.end(),
                       [&](const run_part& part) { return m_dispatcher.is_limited(*part.service); });
}

bool request_flow::is_servable(const forwarding_run& run, const run_part& part) const {
    const std::optional<time_point> at = m_dispatcher.available_at(part);
    return at && *at < run.latest_send(m_core.now);
}

placement_demand request_flow::demand_of(const forwarding_run& run) const {
    return {run.timing->median(), run.timing->p90(), run.selected_route->objective};
}

/**
 * Load pattern: a shard that has lost replicas lacks the capacity for all requests. Exchanges that would wait
 * beyond the objective only lengthen the queue for those that could still be served in time.
 */
void request_flow::drop_overloaded_parts(forwarding_run& run) {
    const duration left = run.times.objective_at - m_core.now;
    const bool drops = m_core.uses(forwarding_mechanism::part_dropping);
    if (!drops || !run.merges() || left <= duration{0}) {
        return;
    }
    std::vector<std::pair<duration, run_part*>> late;
    for (run_part& part : run.parts) {
        const auto wait = m_dispatcher.expected_wait(*part.service, demand_of(run));
        if (wait && *wait > duration{0} && *wait + run.timing->median() > left) {
            late.emplace_back(*wait, &part);
        }
    }
    std::sort(late.begin(), late.end(),
              [](const auto& one, const auto& other) { return one.first > other.first; });
    for (const auto& [wait, part] : late) {
        const std::size_t missing = run.count(part_progress::missing);
        if (!run.covers_enough(run.parts.size() - missing - 1)) {
            return;
        }
        give_up(run, *part, "overloaded");
    }
}

/**
 * Ignores the slowest shards, as far as the least coverage allows. Returns zero if there is no estimate, so
 * that a request to one target is tried in any case.
 */
duration request_flow::expected_queue(const forwarding_run& run) const {
    const placement_demand demand = demand_of(run);
    std::vector<duration> waits;
    for (const run_part& part : run.parts) {
        if (const auto wait = m_dispatcher.expected_wait(*part.service, demand)) {
            waits.push_back(*wait);
        }
    }
    if (waits.empty()) {
        return duration{0};
    }
    std::sort(waits.begin(), waits.end());
    const double share = run.merges() ? run.selected_route->least_coverage : 1.0;
    const std::size_t rank = parts_needed(share, run.parts.size()) - 1;
    return waits[std::min(rank, waits.size() - 1)];
}

bool request_flow::is_admitted(forwarding_run& run) {
    forward_admission_inputs inputs;
    inputs.until_objective = run.times.objective_at - m_core.now;
    inputs.until_answer_deadline = run.times.answer_deadline - m_core.now;
    inputs.median_time = run.timing->median();
    inputs.priority = run.priority;
    inputs.lag = m_core.current_lag();
    inputs.queue_time = expected_queue(run);
    if (!m_core.uses(forwarding_mechanism::admission_by_wait)) {
        return true;
    }
    admission_decision decision = admit(inputs);
    if (!gives_way(run, inputs, decision) && decision.admitted) {
        return true;
    }
    forward_answer answer;
    answer.outcome = forward_outcome::not_run;
    answer.reason = is_limited(run) ? forward_reason::targets_limited : forward_reason::overloaded;
    answer.retry_after = m_answers.retry_delay(run, decision.retry_after);
    m_answers.finish(run, std::move(answer));
    return false;
}

bool request_flow::gives_way(const forwarding_run& run, const forward_admission_inputs& inputs,
                             admission_decision& decision) {
    if (!run.table->requires_keys || !m_core.uses(forwarding_mechanism::team_fairness)) {
        return false;
    }
    engine_service& service = *run.parts.front().service;
    const std::string team = run.team_name();
    const auto work = static_cast<double>(run.timing->median().count());
    service.shares.on_arrival(m_core.now, team, work);
    if (decision.admitted && is_short(inputs) && service.shares.gives_way(m_core.now, team)) {
        decision.admitted = false;
        decision.retry_after = std::max(min_retry_after, decision.expected_wait);
        ++m_core.statistics.gave_way;
        m_core.actions.emplace_back(
            team_gave_way{service.id, team, decision.expected_wait, service.shares.fraction_of(team)});
        return true;
    }
    if (decision.admitted) {
        service.shares.on_admitted(team, work);
    }
    return false;
}

/**
 * Failure pattern: a key is removed, or this host loses the lease by which it can confirm keys, while
 * requests with keys wait for a connection, a hedge or a retry. Exchanges that are running are completed.
 */
void request_flow::withdraw_keyed_requests(bool lease_lost) {
    std::vector<forward_number> withdrawn;
    for (const auto& [number, run] : m_core.runs) {
        const bool lost_lease = lease_lost && run->needs_lease;
        const bool lost_key = run->holder != nullptr && m_core.index->table()->requires_keys &&
                              m_core.teams->find(run->request.credentials.key) == nullptr;
        if (!run->is_withdrawn && (lost_lease || lost_key)) {
            withdrawn.push_back(number);
        }
    }
    for (const forward_number number : withdrawn) {
        forwarding_run& run = *m_core.find_run(number);
        run.is_withdrawn = true;
        for (run_part& part : run.parts) {
            part.queued = false;
            part.charge.reset();
            part.hedge_at = time_point::max();
            const bool open =
                part.progress != part_progress::covered && part.progress != part_progress::missing;
            if (open && part.exchanges.empty()) {
                give_up(run, part, "key_withdrawn");
            }
        }
        answer_if_due(run);
    }
}

} // namespace tamarack
