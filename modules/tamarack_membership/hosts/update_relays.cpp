#include "update_relays.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

/** @return whether a host takes precedence over another host of the same data centre as its relay */
bool relays_before(const host_record& host, const host_record& other) {
    const auto key = [](const host_record& record) {
        const bool alive = record.state == host_state::alive;
        return std::make_tuple(!alive, !record.control, stable_hash(record.host.value()), record.host);
    };
    return key(host) < key(other);
}

} // namespace

void update_relays::refresh(const host_record& self, const host_table& hosts) {
    if (m_generation == hosts.generation()) {
        return;
    }
    m_generation = hosts.generation();
    m_self = self.host;
    m_local_hosts.clear();
    m_other_relays.clear();
    std::map<data_center_id, const host_record*> chosen{{self.data_center, &self}};
    for (const auto& [host, entry] : hosts.peers()) {
        const host_record& record = entry.record;
        if (!is_running(record.state)) {
            continue;
        }
        if (record.data_center == self.data_center) {
            m_local_hosts.push_back(host);
        }
        const auto [relay, is_new] = chosen.try_emplace(record.data_center, &record);
        if (!is_new && relays_before(record, *relay->second)) {
            relay->second = &record;
        }
    }
    for (const auto& [data_center, relay] : chosen) {
        if (data_center == self.data_center) {
            m_own_relay = relay->host;
        } else {
            m_other_relays.push_back(relay->host);
        }
    }
}

bool update_relays::is_relay(const host_id& host) const {
    return host == m_own_relay || std::ranges::find(m_other_relays, host) != m_other_relays.end();
}

bool update_relays::is_local(const host_id& host) const {
    return host == m_self || std::ranges::binary_search(m_local_hosts, host);
}

std::vector<host_id> update_relays::receivers(update_scope scope, random_source& random) const {
    std::vector<host_id> receivers;
    if (is_relay()) {
        receivers = m_local_hosts;
        if (scope == update_scope::everyone) {
            receivers.insert(receivers.end(), m_other_relays.begin(), m_other_relays.end());
        }
        return receivers;
    }
    if (scope == update_scope::everyone) {
        receivers.push_back(m_own_relay);
        if (!m_other_relays.empty()) {
            receivers.push_back(m_other_relays[random.below(m_other_relays.size())]);
        }
    }
    return receivers;
}

bool update_relays::sends_state_to(const host_record& new_host) const {
    if (!is_relay() || !new_host.draining) {
        return false;
    }
    if (is_local(new_host.host)) {
        return true;
    }
    if (!is_relay(new_host.host)) {
        return false;
    }
    const std::uint64_t seed = stable_hash(new_host.host.value());
    const std::uint64_t own = stable_hash(m_self.value(), seed);
    return std::ranges::none_of(m_other_relays, [&](const host_id& other) {
        return other != new_host.host && stable_hash(other.value(), seed) < own;
    });
}

} // namespace tamarack
