#include "service_table.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double min_burst = 4.0;
constexpr duration assumed_age = 1h; ///< age assumed for targets that ran before this host knew the service

double burst_of(const service_definition& definition) {
    std::size_t shards = 0;
    for (const auto& map : definition.maps) {
        shards = std::max(shards, map.shards.size());
    }
    return std::max(min_burst, static_cast<double>(shards));
}

std::uint32_t min_slots_per_shard(const service_state& service) {
    std::uint32_t fewest_slots = UINT32_MAX;
    for (const auto& [id, shard] : service.shards) {
        std::uint32_t slots = 0;
        for (const auto& replica : shard.replicas) {
            slots += replica->view.slots;
        }
        fewest_slots = slots == 0 ? fewest_slots : std::min(fewest_slots, slots);
    }
    return fewest_slots == UINT32_MAX ? 0 : fewest_slots;
}

} // namespace

std::size_t service_table::running_limit_of(const service_state& service) const {
    const double by_slots = std::ceil(min_slots_per_shard(service) * m_running_per_slot);
    const auto limit = static_cast<std::size_t>(std::max(by_slots, 1.0));
    return std::min<std::size_t>(limit, std::max(service.definition.budgets.running_requests, 1U));
}

view_changes service_table::apply(time_point now, const serving_view& view) {
    view_changes changes;
    std::unordered_set<std::uint64_t> seen;
    for (const auto& [id, service] : m_services) {
        service->listed = view.services.contains(id);
    }
    for (const auto& [id, service] : view.services) {
        apply_service(now, id, service, seen, changes);
    }
    drop_unlisted(seen, changes);
    for (const auto& [id, service] : m_services) {
        std::erase_if(service->replicas, [](const replica_pointer& replica) { return !replica->listed; });
        group_by_shard(*service);
        service->running_limit = running_limit_of(*service);
        service->versions_until = now;
    }
    return changes;
}

void service_table::apply_service(time_point now, const service_id& id, const service_view& view,
                                  std::unordered_set<std::uint64_t>& seen, view_changes& changes) {
    auto& service = m_services[id];
    const bool service_is_new = service == nullptr;
    if (service_is_new) {
        service = std::make_unique<service_state>(burst_of(view.definition), m_limited);
        service->number = ++m_last_number;
    }
    service->definition = view.definition;
    service->budget.set_burst(burst_of(view.definition));
    service->replicas.clear();
    for (const auto& offered : view.replicas) {
        service->replicas.push_back(add_or_update(now, id, offered, service_is_new, changes));
        seen.insert(service->replicas.back()->number);
    }
}

replica_pointer service_table::add_or_update(time_point now, const service_id& id, const replica_view& view,
                                             bool service_is_new, view_changes& changes) {
    auto& existing = m_replicas[view.target];
    const bool same = existing != nullptr && existing->view.incarnation == view.incarnation &&
                      existing->service == id && existing->view.shard == view.shard &&
                      existing->view.address == view.address;
    if (same) {
        existing->view = view;
        existing->listed = true;
        return existing;
    }
    if (existing != nullptr) {
        existing->listed = false;
        changes.removed.push_back(existing);
    }
    existing = std::make_shared<replica>();
    existing->number = ++m_last_number;
    existing->service = id;
    existing->view = view;
    existing->first_seen = service_is_new ? now - assumed_age : now;
    m_by_number[existing->number] = existing;
    changes.added.push_back(existing);
    return existing;
}

void service_table::drop_unlisted(const std::unordered_set<std::uint64_t>& seen, view_changes& changes) {
    for (auto entry = m_replicas.begin(); entry != m_replicas.end();) {
        if (seen.contains(entry->second->number)) {
            ++entry;
            continue;
        }
        entry->second->listed = false;
        changes.removed.push_back(entry->second);
        entry = m_replicas.erase(entry);
    }
    std::erase_if(m_by_number, [](const auto& entry) {
        return !entry.second->listed && entry.second->open_connections == 0;
    });
}

void service_table::group_by_shard(service_state& service) {
    for (auto& [id, shard] : service.shards) {
        shard.replicas.clear();
    }
    for (const auto& map : service.definition.maps) {
        for (const auto& id : map.shards) {
            service.shards[id].id = id;
        }
    }
    for (const auto& replica : service.replicas) {
        service.shards[replica->view.shard].replicas.push_back(replica);
    }
    for (auto& [id, shard] : service.shards) {
        shard.id = id;
        shard.service = &service;
    }
}

service_state* service_table::find(const service_id& id) {
    const auto found = m_services.find(id);
    return found == m_services.end() || !found->second->listed ? nullptr : found->second.get();
}

service_state* service_table::find(std::uint64_t number) {
    for (const auto& [id, service] : m_services) {
        if (service->number == number) {
            return service.get();
        }
    }
    return nullptr;
}

replica_pointer service_table::find_replica(std::uint64_t number) const {
    const auto found = m_by_number.find(number);
    return found == m_by_number.end() ? nullptr : found->second;
}

replica_pointer service_table::find_replica(const target_id& target) const {
    const auto found = m_replicas.find(target);
    return found == m_replicas.end() ? nullptr : found->second;
}

void service_table::add_counts(query_statistics& counted) const {
    for (const auto& [id, service] : m_services) {
        counted.first_attempts += service->budget.first_attempts();
        counted.extra_attempts += service->budget.extra_attempts();
        counted.queued_requests += service->queue.size();
        counted.running_requests += service->running;
    }
}

void service_table::refresh_versions(service_state& service, time_point now) const {
    if (now < service.versions_until) {
        return;
    }
    service.versions = list_versions(service.definition, service.replicas, now);
    service.versions_until = time_point::max();
    for (const auto& replica : service.replicas) {
        for (const auto& [version, until] : replica->version_gone_until) {
            if (until > now) {
                service.versions_until = std::min(service.versions_until, until);
            }
        }
    }
}

} // namespace tamarack
