#include "connection_share.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Fraction of the limit that is used. */
constexpr double usable_share = 0.9;
/** Fraction of the limit that the active hosts share when there are standby hosts. */
constexpr double active_hosts_share = 0.6;

/** @return fraction of the limit that the active hosts share */
double active_part(const sharing_hosts& sharing) {
    return sharing.standby.empty() ? 1.0 : active_hosts_share;
}

} // namespace

std::size_t host_rank(const std::vector<host_id>& hosts, const host_id& self, const target_id& target) {
    const std::uint64_t seed = stable_hash(target.value());
    const std::uint64_t own = stable_hash(self.value(), seed);
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const host_id& other) {
        return std::make_pair(stable_hash(other.value(), seed), other) < std::make_pair(own, self);
    }));
}

std::size_t connected_hosts(std::uint32_t limit, const sharing_hosts& sharing) {
    const auto usable = static_cast<std::size_t>(usable_share * active_part(sharing) * limit);
    return std::min(std::max<std::size_t>(sharing.active.size(), 1), std::max<std::size_t>(usable, 1));
}

std::size_t connection_share(std::uint32_t limit, const sharing_hosts& sharing, const host_id& self,
                             const target_id& target, duration up_for) {
    const bool stands_by = std::ranges::find(sharing.standby, self) != sharing.standby.end();
    if (stands_by) {
        return connections_on_standby;
    }
    const std::size_t count = std::max<std::size_t>(sharing.active.size(), 1);
    const std::size_t connected = connected_hosts(limit, sharing);
    if (count <= connected) {
        return up_for < discovery_time
                   ? 1
                   : std::max<std::size_t>(static_cast<std::size_t>(active_part(sharing) * limit) / count, 1);
    }
    return host_rank(sharing.active, self, target) < connected ? 1 : 0;
}

} // namespace tamarack
