#include "hosts_worker.h"

#include <utility>

namespace tamarack {

/** Queries another host for its configuration while the control hosts are unreachable. */
void hosts_worker::query_peer(time_point now) {
    inquiry_inputs inputs{m_control->lease_ends_at(), m_settings.times.lease_length, {}};
    for (const host_record& host : m_detector->hosts()) {
        if (host.state == host_state::alive && host.host != m_settings.host) {
            inputs.peers.push_back(host.host);
        }
    }
    if (const auto peer = m_inquiry.next(now, inputs)) {
        const configuration_inquiry inquiry{m_settings.host, m_address, m_control->current().number};
        m_links.send(address_of(*peer), inquiry_method, encode_inquiry(inquiry));
    }
}

void hosts_worker::answer_peer(const configuration_inquiry& inquiry) {
    const shared_configuration& current = m_control->shared_current();
    if (current->number <= inquiry.held_ticket) {
        return;
    }
    const leader_redirect answer{m_settings.host, 0, m_control->leader(), current};
    send_control(inquiry.from, inquiry.reply_to, answer);
}

void hosts_worker::send_identity() {
    const Json::Value parameters = encode_identity({m_identity, m_settings.data_center});
    const host_id leader = m_control->leader();
    if (!leader.empty()) {
        if (m_settings.formation.automatic && leader != m_settings.host) {
            m_links.send(address_of(leader), identity_method, parameters);
        }
        return;
    }
    for (const seed_host& seed : m_seeds) {
        if (seed.host != m_settings.host) {
            m_links.send(seed.address, identity_method, parameters);
        }
    }
}

/**
 * Failure pattern: the machine is suspended between the sending of a lease renewal and its grant. The steady
 * clock stands still meanwhile, so the grant would appear to be recent.
 */
void hosts_worker::observe_suspension(time_point now) {
    constexpr duration min_suspension = 5ms;
    const duration total = suspended_time();
    if (total < m_suspended + min_suspension) {
        return;
    }
    const duration added = total - std::exchange(m_suspended, total);
    if (m_settings.teams.revocation_time == duration{0} || m_control == nullptr) {
        return;
    }
    log_state_change(log_level::warning, "suspended", m_control->current().number,
                     {{"for_ms", std::to_string(added / 1ms)}});
    carry_out(m_control->restart_lease(now));
}

} // namespace tamarack
