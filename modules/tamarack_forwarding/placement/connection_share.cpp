#include "connection_share.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Fraction of the limit that is used. */
constexpr double usable_share = 0.9;
/** Fraction of the limit that the active hosts share when there are standby hosts. */
constexpr double active_hosts_share = 0.6;

} // namespace

std::size_t connection_share(std::uint32_t limit, const sharing_hosts& sharing, const host_id& self,
                             const target_id& target, duration up_for) {
    const std::vector<host_id>& hosts = sharing.active;
    const bool stands_by = std::ranges::find(sharing.standby, self) != sharing.standby.end();
    if (stands_by) {
        return connections_on_standby;
    }
    const std::size_t count = std::max<std::size_t>(hosts.size(), 1);
    const double part = sharing.standby.empty() ? 1.0 : active_hosts_share;
    const auto used = std::max<std::size_t>(static_cast<std::size_t>(usable_share * part * limit), 1);
    if (count <= used) {
        return up_for < discovery_time
                   ? 1
                   : std::max<std::size_t>(static_cast<std::size_t>(part * limit) / count, 1);
    }
    const std::uint64_t seed = stable_hash(target.value());
    const std::uint64_t own = stable_hash(self.value(), seed);
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const host_id& other) {
        return std::make_pair(stable_hash(other.value(), seed), other) < std::make_pair(own, self);
    });
    return static_cast<std::size_t>(before) < used ? 1 : 0;
}

} // namespace tamarack
