#include "claim_client.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarack {

namespace {

constexpr std::size_t max_results_in_flight = 64;
constexpr duration retry_delay_after_redirect = 20ms;
constexpr duration retry_delay_without_leader = 100ms;

duration retry_delay_after(const leader_redirect& message) {
    return message.leader.empty() ? retry_delay_without_leader : retry_delay_after_redirect;
}

/**
 * Marks an operation as sent. If it had been sent before and not been answered, reports a time-out to the
 * route.
 */
template <typename Operation>
void mark_sent(time_point now, duration retry, Operation& operation, control_route& route) {
    if (operation.sent_at != time_point{}) {
        route.on_timeout(now, operation.sent_at);
    }
    operation.sent_at = now;
    operation.next_send_at = now + retry;
}

} // namespace

claim_client::claim_client(const control_client_options& options, std::uint64_t first_operation)
    : m_options(options), m_next_operation(first_operation) {}

void claim_client::commit(time_point now, std::uint64_t request, const claim& wanted, time_point deadline,
                          const control_route& route, control_client_actions& actions) {
    if (m_results.size() >= m_options.max_unrecorded_results) {
        actions.emplace_back(claim_uncertain{request});
        return;
    }
    const std::uint64_t operation = m_next_operation++;
    m_claims[operation] = {request, wanted, deadline, now, now + m_options.retry};
    actions.emplace_back(
        send_to_control{route.target(), request_claim{m_options.self, m_options.address, operation, wanted}});
}

void claim_client::record(time_point now, claim_result ended) {
    m_results[m_next_operation++] = {with_bounded_reply(std::move(ended)), {}, now};
}

void claim_client::on_decided(time_point now, const claim_decided& message, control_route& route,
                              control_client_actions& actions) {
    const auto found = m_claims.find(message.operation);
    if (found == m_claims.end()) {
        return;
    }
    route.on_answer(now, message.from);
    actions.emplace_back(claim_answered{found->second.request, message.answer});
    m_claims.erase(found);
}

void claim_client::on_recorded(time_point now, const result_recorded& message, control_route& route) {
    if (m_results.erase(message.operation) > 0) {
        route.on_answer(now, message.from);
    }
}

void claim_client::on_redirect(time_point now, const leader_redirect& message) {
    if (const auto claimed = m_claims.find(message.operation); claimed != m_claims.end()) {
        claimed->second.sent_at = now;
        claimed->second.next_send_at = now + retry_delay_after(message);
    }
    if (const auto ended = m_results.find(message.operation); ended != m_results.end()) {
        ended->second.sent_at = now;
        ended->second.next_send_at = now + retry_delay_after(message);
    }
}

void claim_client::on_timer(time_point now, control_route& route, control_client_actions& actions) {
    withdraw_overdue_claims(now, actions);
    send_due_claims(now, route, actions);
    send_due_results(now, route, actions);
}

void claim_client::withdraw_overdue_claims(time_point now, control_client_actions& actions) {
    std::vector<claim> withdrawn;
    for (auto item = m_claims.begin(); item != m_claims.end();) {
        if (item->second.deadline > now) {
            ++item;
            continue;
        }
        actions.emplace_back(claim_uncertain{item->second.request});
        withdrawn.push_back(std::move(item->second.wanted));
        item = m_claims.erase(item);
    }
    for (const auto& wanted : withdrawn) {
        record(now, {wanted.service, wanted.key, wanted.attempt, run_result::not_run, "", false});
    }
}

void claim_client::send_due_claims(time_point now, control_route& route, control_client_actions& actions) {
    for (auto& [operation, item] : m_claims) {
        if (item.next_send_at > now) {
            continue;
        }
        mark_sent(now, m_options.retry, item, route);
        actions.emplace_back(send_to_control{
            route.target(), request_claim{m_options.self, m_options.address, operation, item.wanted}});
    }
}

void claim_client::send_due_results(time_point now, control_route& route, control_client_actions& actions) {
    std::size_t considered = 0;
    for (auto& [operation, item] : m_results) {
        if (++considered > max_results_in_flight) {
            return;
        }
        if (item.next_send_at > now) {
            continue;
        }
        mark_sent(now, m_options.retry, item, route);
        actions.emplace_back(send_to_control{
            route.target(), report_result{m_options.self, m_options.address, operation, item.ended}});
    }
}

time_point claim_client::next_timer() const {
    time_point next = time_point::max();
    for (const auto& [operation, item] : m_claims) {
        next = std::min({next, item.deadline, item.next_send_at});
    }
    std::size_t considered = 0;
    for (const auto& [operation, item] : m_results) {
        if (++considered > max_results_in_flight) {
            break;
        }
        next = std::min(next, item.next_send_at);
    }
    return next;
}

} // namespace tamarack
