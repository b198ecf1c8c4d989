#include "readiness_gate.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

constexpr duration max_wait = 30s;

/** @return whether, for some shard map, each shard has a replica with a slot for this host */
bool reaches_every_shard(const service_view& service) {
    std::set<shard_id> reached;
    for (const replica_view& replica : service.replicas) {
        if (replica.slots > 0 && !replica.versions.empty()) {
            reached.insert(replica.shard);
        }
    }
    const auto& maps = service.definition.maps;
    return std::any_of(maps.begin(), maps.end(), [&reached](const shard_map& map) {
        return std::all_of(map.shards.begin(), map.shards.end(),
                           [&reached](const shard_id& shard) { return reached.contains(shard); });
    });
}

bool reaches_its_services(const serving_view& view) {
    return std::any_of(view.services.begin(), view.services.end(),
                       [](const auto& service) { return reaches_every_shard(service.second); });
}

} // namespace

bool readiness_gate::open(time_point now, const readiness_inputs& inputs) {
    if (m_open || !inputs.holds_lease) {
        return m_open;
    }
    if (!m_leased_since) {
        m_leased_since = now;
    }
    const bool knows_others = inputs.hosts_known > 1 && !inputs.isolated;
    const bool reaches = inputs.assigned && inputs.view != nullptr && reaches_its_services(*inputs.view);
    m_open = (knows_others && reaches) || now - *m_leased_since >= max_wait;
    return m_open;
}

} // namespace tamarack
