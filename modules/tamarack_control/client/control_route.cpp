#include "control_route.h"

#include <utility>

namespace tamarack {

control_route::control_route(std::vector<host_id> hosts, duration retry, std::size_t first)
    : m_hosts(std::move(hosts)), m_retry(retry), m_position(first) {
    if (!m_hosts.empty()) {
        m_position %= m_hosts.size();
        m_target = m_hosts[m_position];
    }
}

void control_route::set_hosts(std::vector<host_id> hosts) {
    m_hosts = std::move(hosts);
    if (m_target.empty() && !m_hosts.empty()) {
        m_position %= m_hosts.size();
        m_target = m_hosts[m_position];
    }
}

void control_route::on_answer(time_point now, const host_id& from) {
    m_leader = from;
    m_target = from;
    m_last_answer_at = now;
}

void control_route::on_redirect(time_point now, const host_id& from, const host_id& named_leader) {
    if (from == m_leader) {
        m_leader = host_id{};
    }
    if (from != m_target) {
        return;
    }
    if (named_leader.empty() || named_leader == from) {
        advance(now);
        return;
    }
    m_target = named_leader;
    m_target_changed_at = now;
}

void control_route::on_timeout(time_point now, time_point sent_at) {
    const bool heard_since = m_last_answer_at >= sent_at;
    const bool just_changed = now < m_target_changed_at + m_retry;
    if (heard_since || just_changed) {
        return;
    }
    advance(now);
}

void control_route::advance(time_point now) {
    m_target_changed_at = now;
    m_leader = host_id{};
    if (m_hosts.empty()) {
        return;
    }
    m_position = (m_position + 1) % m_hosts.size();
    m_target = m_hosts[m_position];
}

} // namespace tamarack
