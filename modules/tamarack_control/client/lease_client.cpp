#include "lease_client.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration pause_after_redirect = 20ms;
constexpr duration pause_without_leader = 60ms;

} // namespace

lease_client::lease_client(const control_client_options& options, std::uint64_t first_renewal, time_point now)
    : m_options(options), m_lease(options.leases, first_renewal) {
    m_lease.renew_soon(now);
}

void lease_client::on_granted(time_point now, const lease_granted& message, control_route& route,
                              control_client_actions& actions) {
    if (m_released || !m_lease.expects(message.grant.number)) {
        return;
    }
    route.on_answer(now, message.from);
    if (message.grant.number == m_asked) {
        m_asked = 0;
        m_ask_again_at = time_point::max();
    }
    const bool was_settled = assignment_settled();
    const bool changed = apply_update(message);
    const bool applied = m_current.number == message.grant.latest && m_assigned.epoch == message.grant.epoch;
    const bool extended = applied && m_lease.on_grant(now, message.grant);
    if (changed || assignment_settled() != was_settled) {
        actions.emplace_back(configuration_changed{});
    }
    if (changed) {
        m_lease.renew_soon(now);
    }
    if (extended) {
        m_held = m_lease.may_serve(now);
        actions.emplace_back(lease_changed{m_lease.ends_at()});
    }
}

bool lease_client::apply_update(const lease_granted& message) {
    bool changed = false;
    if (message.newer_configuration && message.newer_configuration->number > m_current.number) {
        m_current = *message.newer_configuration;
        changed = true;
    }
    if (message.assigned && message.assigned->epoch > m_assigned.epoch) {
        take_assignment(*message.assigned);
        changed = true;
    }
    return changed;
}

/**
 * The assignment before is known only when no epoch was missed. Otherwise it is empty: nothing of the new
 * one is used until it is settled, since what others still use of a missed epoch is not known here.
 */
void lease_client::take_assignment(const assignment& next) {
    if (next.epoch == m_assigned.epoch + 1) {
        m_before = std::move(m_assigned);
    } else {
        m_before = assignment{};
        m_before.epoch = next.epoch - 1;
    }
    m_assigned = next;
}

void lease_client::on_redirect(time_point now, const leader_redirect& message) {
    if (message.operation != m_asked) {
        return;
    }
    m_ask_again_at = now + (message.leader.empty() ? pause_without_leader : pause_after_redirect);
    m_asked_at = now;
}

void lease_client::on_update_announced(time_point now, const announce_update& message) {
    const bool newer = message.latest > m_current.number || message.epoch > m_assigned.epoch;
    const bool settled = message.settled_epoch > m_lease.settled_epoch();
    if (!m_released && (newer || settled)) {
        m_lease.renew_soon(now);
    }
}

void lease_client::on_timer(time_point now, control_route& route, control_client_actions& actions) {
    report_end(now, actions);
    if (m_released) {
        return;
    }
    if (now >= m_ask_again_at) {
        route.on_silence(now, m_asked_at);
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
    m_asked = renewal->number;
    m_asked_at = now;
    m_ask_again_at = now + m_options.retry;
    renew_lease message;
    message.from = m_options.self;
    message.incarnation = m_options.incarnation;
    message.reply_to = m_options.address;
    message.data_center = m_options.data_center;
    message.serves_callers = m_options.serves_callers;
    message.draining = m_draining;
    message.renewal = *renewal;
    message.holds = m_current.number;
    message.holds_epoch = m_assigned.epoch;
    actions.emplace_back(send_to_control{route.target(), std::move(message)});
}

void lease_client::report_end(time_point now, control_client_actions& actions) {
    if (m_held && !m_lease.may_serve(now)) {
        m_held = false;
        actions.emplace_back(lease_changed{m_lease.ends_at()});
    }
}

void lease_client::adopt(time_point now, const configuration& accepted, control_client_actions& actions) {
    if (accepted.number <= m_current.number) {
        return;
    }
    m_current = accepted;
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
    report_end(now, actions);
    actions.emplace_back(
        send_to_control{route.target(), release_lease{m_options.self, m_options.incarnation}});
}

time_point lease_client::next_timer() const {
    time_point next = m_held ? m_lease.ends_at() : time_point::max();
    if (!m_released) {
        next = std::min({next, m_lease.next_timer(), m_ask_again_at});
    }
    return next;
}

} // namespace tamarack
