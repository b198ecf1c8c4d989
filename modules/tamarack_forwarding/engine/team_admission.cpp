#include "team_admission.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Longest wait for a token; a refusal after it still leaves the caller time for another host. */
constexpr duration max_wait = 20ms;
/** Part of the objective, or of the caller's remaining time, that a request may wait. */
constexpr int wait_divisor = 4;

} // namespace

team_admission::team_admission(forwarding_core& core, request_answers answers)
    : m_core(core), m_answers(answers),
      m_client(time_point{}, core.options.host,
               random_source{stable_hash(core.options.host.value(), core.key_seed)}) {}

void team_admission::on_view() {
    const forwarding_view& view = *m_core.view;
    if (!std::exchange(m_started, true)) {
        m_client.start(m_core.now);
    }
    if (view.routes && view.routes != m_table) {
        m_table = view.routes;
        m_limits = number_teams(m_table->teams, m_core.options.team_tolerance);
        m_client.set_limits(m_limits);
    }
    m_client.set_hosts(view.limit_hosts ? *view.limit_hosts : view.serving_hosts);
}

bool team_admission::holds_back(forward_request& request, const route& selected,
                                const caller_verdict& caller) {
    if (caller.holder == nullptr || !m_client.has_limits()) {
        return false;
    }
    const auto index = static_cast<std::size_t>(caller.holder - m_table->teams.data());
    const team_number team = m_limits.at(index).team;
    const duration patience =
        std::min({selected.objective / wait_divisor, max_wait,
                  request.remaining_time.value_or(wait_divisor * max_wait) / wait_divisor});
    const team_decision made = m_client.request(m_core.now, team, request.number, patience);
    switch (made.verdict) {
    case team_verdict::admitted:
        return false;
    case team_verdict::refused:
        refuse(std::move(request), made.retry_after);
        return true;
    case team_verdict::waiting:
        break;
    }
    const forward_number number = request.number;
    m_waiting[number] = {std::move(request), m_core.now, team};
    return true;
}

bool team_admission::cancel(forward_number number) {
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end()) {
        return false;
    }
    m_client.cancel(found->second.team, number);
    m_waiting.erase(found);
    return true;
}

std::vector<admitted_request> team_admission::on_grant(const team_grant& grant) {
    return carry_out(m_client.on_grant(m_core.now, grant));
}

std::vector<admitted_request> team_admission::on_timer() {
    m_timer_at = time_point::max();
    return carry_out(m_client.on_timer(m_core.now));
}

std::vector<admitted_request> team_admission::carry_out(const std::vector<waited_decision>& decisions) {
    std::vector<admitted_request> admitted;
    for (const waited_decision& made : decisions) {
        const auto found = m_waiting.find(made.request);
        require_invariant(found != m_waiting.end(), "a decision concerns a waiting request");
        waiting_request waited = std::move(found->second);
        m_waiting.erase(found);
        if (made.decision.verdict == team_verdict::admitted) {
            admitted.push_back({std::move(waited.request), waited.arrived});
        } else {
            refuse(std::move(waited.request), made.decision.retry_after);
        }
    }
    return admitted;
}

void team_admission::refuse(forward_request request, duration retry_after) {
    m_answers.refuse_unrouted(std::move(request), forward_outcome::not_run, forward_reason::team_limited,
                              retry_after);
}

void team_admission::finish_event() {
    if (!m_client.has_limits()) {
        return;
    }
    if (auto report = m_client.take_report(m_core.now)) {
        m_core.actions.emplace_back(report_team_use{std::move(*report)});
    }
    const time_point next = m_client.next_timer(m_core.now);
    if (next < m_timer_at) {
        m_timer_at = next;
        m_core.schedule(next, due_kind::team_limits, 0);
    }
}

} // namespace tamarack
