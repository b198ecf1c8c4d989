#include "replica_share.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Position in the ring of hosts at which the distribution of one replica's extra slots starts. */
std::size_t first_extra(const replica_place& place, std::uint32_t slots, std::size_t hosts) {
    const std::uint64_t shard_start =
        stable_hash(place.shard.value(), stable_hash(place.service.value())) % hosts;
    const std::uint64_t extra = slots % hosts;
    const std::uint64_t dealt_before = extra * (place.replica % hosts);
    return static_cast<std::size_t>((shard_start + dealt_before) % hosts);
}

std::uint32_t part_of(std::uint32_t total, std::size_t hosts, std::size_t distance_from_first) {
    const auto count = static_cast<std::uint32_t>(hosts);
    const std::uint32_t even = total / count;
    const bool has_extra = distance_from_first < total % count;
    return even + (has_extra ? 1U : 0U);
}

} // namespace

replica_share share_of(const replica_place& place, const replica_share& limits,
                       const std::vector<host_id>& hosts, const host_id& host) {
    const auto found = std::find(hosts.begin(), hosts.end(), host);
    if (found == hosts.end()) {
        return {};
    }
    const auto position = static_cast<std::size_t>(found - hosts.begin());
    const std::size_t first = first_extra(place, limits.slots, hosts.size());
    const std::size_t distance_from_first = (position + hosts.size() - first) % hosts.size();
    return {part_of(limits.slots, hosts.size(), distance_from_first),
            part_of(limits.connections, hosts.size(), distance_from_first)};
}

replica_share share_during_change(const replica_share& before, const replica_share& after, bool settled) {
    if (settled) {
        return after;
    }
    return {std::min(before.slots, after.slots), std::min(before.connections, after.connections)};
}

} // namespace tamarack
