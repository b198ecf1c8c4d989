#include "failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

void failure_detector::push_updates(time_point now, target_registry& registry) {
    answer_syncs(now, registry);
    if (m_next_push > now) {
        return;
    }
    m_next_push = time_point::max();
    send_state_to_new_hosts(registry);
    if (!m_state.pending_updates().has_unpushed()) {
        return;
    }
    if (m_state.dissemination() == dissemination_mode::relayed) {
        push_relayed_updates(registry);
        return;
    }
    pushed_updates updates = m_state.compose_for_push(registry, m_options.max_updates_per_message);
    multicast(choose_hosts(m_state.hosts().running(), push_count(), {}, m_random),
              std::move(updates.everyone));
}

void failure_detector::push_relayed_updates(target_registry& registry) {
    pushed_updates updates = m_state.compose_for_push(registry, m_options.max_relayed_per_message);
    const update_relays& relays = m_state.relays();
    if (!relays.is_relay()) {
        multicast(relays.receivers(update_scope::everyone, m_random), std::move(updates.everyone));
        return;
    }
    multicast(relays.other_relays(), updates.everyone);
    membership_updates local_updates = std::move(updates.everyone);
    local_updates.hosts.insert(local_updates.hosts.end(), updates.own_data_center.hosts.begin(),
                               updates.own_data_center.hosts.end());
    local_updates.targets.insert(local_updates.targets.end(), updates.own_data_center.targets.begin(),
                                 updates.own_data_center.targets.end());
    multicast(relays.local_hosts(), std::move(local_updates));
}

void failure_detector::multicast(const std::vector<host_id>& to, membership_updates updates) {
    multicast_membership action;
    for (const host_id& host : to) {
        const host_record* receiver = m_state.hosts().find(host);
        if (receiver != nullptr) {
            action.to.push_back({host, receiver->hosts_address});
        }
    }
    if (action.to.empty() || updates.empty()) {
        return;
    }
    action.push = update_push{m_state.self().host, std::move(updates)};
    m_actions.emplace_back(std::move(action));
}

/**
 * Limits the size of each message, because small hosts process the relay's messages between callers'
 * requests.
 */
void failure_detector::send_state_as_relay(const std::vector<host_id>& new_hosts,
                                           const target_registry& registry) {
    std::vector<host_id> receivers;
    for (const host_id& new_host : new_hosts) {
        const host_record* record = m_state.hosts().find(new_host);
        if (record != nullptr && m_state.relays().sends_state_to(*record)) {
            receivers.push_back(new_host);
        }
    }
    if (receivers.empty()) {
        return;
    }
    membership_updates state = m_state.full_state(registry);
    multicast(receivers, {std::move(state.hosts), {}});
    for (std::size_t begin = 0; begin < state.targets.size(); begin += m_options.max_relayed_per_message) {
        const std::size_t end = std::min(begin + m_options.max_relayed_per_message, state.targets.size());
        multicast(receivers, {{},
                              {state.targets.begin() + static_cast<std::ptrdiff_t>(begin),
                               state.targets.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
}

void failure_detector::send_state_to_new_hosts(const target_registry& registry) {
    const std::vector<host_id> hosts = m_new_hosts.take();
    if (m_state.dissemination() == dissemination_mode::relayed) {
        send_state_as_relay(hosts, registry);
    }
    if (m_state.dissemination() != dissemination_mode::direct) {
        return;
    }
    for (const host_id& new_host : hosts) {
        membership_updates updates;
        updates.hosts.push_back(m_state.self());
        for (target_record& record : registry.records_for_new_host(sends_restored_to(new_host))) {
            updates.targets.push_back(std::move(record));
            if (updates.targets.size() == m_options.max_updates_per_message) {
                send(new_host, update_push{m_state.self().host, std::exchange(updates, {})});
            }
        }
        send(new_host, update_push{m_state.self().host, std::move(updates)});
    }
}

/**
 * One control host sends the restored targets to a new host: the first running control host by rendezvous
 * hashing.
 */
bool failure_detector::sends_restored_to(const host_id& new_host) const {
    const std::uint64_t seed = stable_hash(new_host.value());
    const std::uint64_t own = stable_hash(m_state.self().host.value(), seed);
    const auto& peers = m_state.hosts().peers();
    return std::ranges::none_of(peers, [&](const auto& item) {
        const host_record& other = item.second.record;
        return other.control && is_running(other.state) && other.host != new_host &&
               stable_hash(other.host.value(), seed) < own;
    });
}

std::size_t failure_detector::push_count() const {
    if (m_state.dissemination() == dissemination_mode::direct) {
        return m_state.hosts().running().size();
    }
    const double hosts = static_cast<double>(m_state.hosts().running().size() + 1);
    return m_options.push_fanout + static_cast<std::size_t>(std::ceil(std::log(hosts)));
}

} // namespace tamarack
