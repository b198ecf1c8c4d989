#include "update_relays.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

/** @return whether a host relays rather than another of the same data centre */
bool relays_before(const host_record& host, const host_record& other) {
    const auto key = [](const host_record& record) {
        const bool trusted = record.state == host_state::alive;
        return std::make_tuple(!trusted, !record.control, stable_hash(record.host.value()), record.host);
    };
    return key(host) < key(other);
}

} // namespace

void update_relays::update(const host_record& self, const host_table& hosts) {
    if (m_generation == hosts.generation()) {
        return;
    }
    m_generation = hosts.generation();
    m_self = self.host;
    m_members.clear();
    m_others.clear();
    std::map<data_center_id, const host_record*> first{{self.data_center, &self}};
    for (const auto& [host, known] : hosts.peers()) {
        const host_record& record = known.record;
        if (!is_running(record.state)) {
            continue;
        }
        if (record.data_center == self.data_center) {
            m_members.push_back(host);
        }
        const auto [relay, is_new] = first.try_emplace(record.data_center, &record);
        if (!is_new && relays_before(record, *relay->second)) {
            relay->second = &record;
        }
    }
    for (const auto& [data_center, relay] : first) {
        if (data_center == self.data_center) {
            m_own_relay = relay->host;
        } else {
            m_others.push_back(relay->host);
        }
    }
}

bool update_relays::is_relay(const host_id& host) const {
    return host == m_own_relay || std::ranges::find(m_others, host) != m_others.end();
}

bool update_relays::is_near(const host_id& host) const {
    return host == m_self || std::ranges::binary_search(m_members, host);
}

std::vector<host_id> update_relays::receivers(update_scope scope, random_source& random) const {
    std::vector<host_id> receivers;
    if (relays()) {
        receivers = m_members;
        if (scope == update_scope::everyone) {
            receivers.insert(receivers.end(), m_others.begin(), m_others.end());
        }
        return receivers;
    }
    if (scope == update_scope::everyone) {
        receivers.push_back(m_own_relay);
        if (!m_others.empty()) {
            receivers.push_back(m_others[random.below(m_others.size())]);
        }
    }
    return receivers;
}

bool update_relays::greets(const host_record& new_host) const {
    if (!relays() || !new_host.draining) {
        return false;
    }
    if (is_near(new_host.host)) {
        return true;
    }
    if (!is_relay(new_host.host)) {
        return false;
    }
    const std::uint64_t seed = stable_hash(new_host.host.value());
    const std::uint64_t own = stable_hash(m_self.value(), seed);
    return std::ranges::none_of(m_others, [&](const host_id& other) {
        return other != new_host.host && stable_hash(other.value(), seed) < own;
    });
}

} // namespace tamarack
