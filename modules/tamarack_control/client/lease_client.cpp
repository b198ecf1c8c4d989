#include "lease_client.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration retry_delay_after_redirect = 20ms;
constexpr duration retry_delay_without_leader = 60ms;

} // namespace

lease_client::lease_client(const control_client_options& options, std::uint64_t first_renewal, time_point now)
    : m_options(options), m_lease(options.leases, first_renewal) {
    m_lease.renew_soon(now);
}

void lease_client::on_granted(time_point now, const lease_granted& message, control_route& route,
                              control_client_actions& actions) {
    if (m_released) {
        return;
    }
    if (!m_lease.expects(message.grant.number)) {
        // Too late for the lease, but what it holds has been accepted all the same.
        if (apply_evacuations(message)) {
            actions.emplace_back(configuration_changed{});
        }
        if (message.newer_configuration != nullptr) {
            adopt(now, message.newer_configuration, actions);
        }
        return;
    }
    route.on_answer(now, message.from);
    if (message.grant.number == m_outstanding_renewal) {
        m_outstanding_renewal = 0;
        m_renewal_retry_at = time_point::max();
    }
    const bool was_settled = assignment_settled();
    const bool changed = apply_update(message);
    const bool orders_just_known = !std::exchange(m_evacuations_known, true);
    const bool orders_changed = apply_evacuations(message) || orders_just_known;
    const bool applied = m_current->number == message.grant.latest && m_assigned.epoch == message.grant.epoch;
    const bool extended = applied && m_lease.on_grant(now, message.grant);
    if (changed || orders_changed || assignment_settled() != was_settled) {
        actions.emplace_back(configuration_changed{});
    }
    if (changed) {
        m_lease.renew_soon(now);
    }
    if (extended) {
        m_lease_was_valid = m_lease.may_serve(now);
        actions.emplace_back(lease_changed{m_lease.ends_at()});
    }
}

bool lease_client::apply_update(const lease_granted& message) {
    bool changed = false;
    if (message.newer_configuration && message.newer_configuration->number > m_current->number) {
        m_current = message.newer_configuration;
        changed = true;
    }
    if (message.assigned && message.assigned->epoch > m_assigned.epoch) {
        apply_assignment(*message.assigned);
        changed = true;
    }
    return changed;
}

bool lease_client::apply_evacuations(const lease_granted& message) {
    if (!message.evacuations || message.evacuations->epoch <= m_evacuations.epoch) {
        return false;
    }
    m_evacuations = *message.evacuations;
    return true;
}

/**
 * The previous assignment is known only when no epoch was missed. Otherwise it is left empty, so that this
 * host uses no part of the new assignment until that is settled: other hosts may still use the assignment of
 * a missed epoch, which is unknown here.
 */
void lease_client::apply_assignment(const assignment& next) {
    if (next.epoch == m_assigned.epoch + 1) {
        m_previous_assignment = std::move(m_assigned);
    } else {
        m_previous_assignment = assignment{};
        m_previous_assignment.epoch = next.epoch - 1;
    }
    m_assigned = next;
}

void lease_client::on_redirect(time_point now, const leader_redirect& message) {
    if (message.operation != m_outstanding_renewal) {
        return;
    }
    m_renewal_retry_at =
        now + (message.leader.empty() ? retry_delay_without_leader : retry_delay_after_redirect);
    m_renewal_sent_at = now;
}

void lease_client::on_update_announced(time_point now, const announce_update& message) {
    const bool newer = message.latest > m_current->number || message.epoch > m_assigned.epoch ||
                       message.evacuations > m_evacuations.epoch;
    const bool settled = message.settled_epoch > m_lease.settled_epoch();
    if (!m_released && (newer || settled)) {
        m_lease.renew_soon(now);
    }
}

void lease_client::on_timer(time_point now, control_route& route, control_client_actions& actions) {
    report_expiry(now, actions);
    if (m_released) {
        return;
    }
    if (now >= m_renewal_retry_at) {
        route.on_timeout(now, m_renewal_sent_at);
        m_lease.renew_soon(now);
    }
    renew_when_due(now, route, actions);
}

void lease_client::renew_when_due(time_point now, const control_route& route,
                                  control_client_actions& actions) {
    const auto renewal = m_lease.on_timer(now);
    if (!renewal) {
        return;
    }
    m_outstanding_renewal = renewal->number;
    m_renewal_sent_at = now;
    m_renewal_retry_at = now + m_options.retry;
    renew_lease message;
    message.from = m_options.self;
    message.incarnation = m_options.incarnation;
    message.reply_to = m_options.address;
    message.data_center = m_options.data_center;
    message.serves_callers = m_options.serves_callers;
    message.draining = m_draining;
    message.renewal = *renewal;
    message.held_ticket = m_current->number;
    message.held_epoch = m_assigned.epoch;
    message.held_evacuations = m_evacuations.epoch;
    actions.emplace_back(send_to_control{route.target(), std::move(message)});
}

void lease_client::report_expiry(time_point now, control_client_actions& actions) {
    if (m_lease_was_valid && !m_lease.may_serve(now)) {
        m_lease_was_valid = false;
        actions.emplace_back(lease_changed{m_lease.ends_at()});
    }
}

void lease_client::adopt(time_point now, shared_configuration accepted, control_client_actions& actions) {
    if (accepted->number <= m_current->number) {
        return;
    }
    m_current = std::move(accepted);
    actions.emplace_back(configuration_changed{});
    if (!m_released) {
        m_lease.renew_soon(now);
    }
}

void lease_client::set_draining(time_point now, bool draining) {
    m_draining = draining;
    m_lease.renew_soon(now);
}

void lease_client::release(time_point now, const control_route& route, control_client_actions& actions) {
    m_released = true;
    m_lease.end(now);
    report_expiry(now, actions);
    actions.emplace_back(
        send_to_control{route.target(), release_lease{m_options.self, m_options.incarnation}});
}

void lease_client::restart(time_point now, control_client_actions& actions) {
    m_lease.end(now);
    report_expiry(now, actions);
    if (!m_released) {
        m_lease.renew_soon(now);
    }
}

time_point lease_client::next_timer() const {
    time_point next = m_lease_was_valid ? m_lease.ends_at() : time_point::max();
    if (!m_released) {
        next = std::min({next, m_lease.next_timer(), m_renewal_retry_at});
    }
    return next;
}

} // namespace tamarack
