#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarack {

/** The hosts that share a target's connections. */
struct sharing_hosts {
    std::vector<host_id> active;  ///< callers are directed to these
    std::vector<host_id> standby; ///< callers contact these only by exception

    bool operator==(const sharing_hosts&) const = default;
};

/** Connections to a target that a standby host may open, for the few requests that it receives. */
inline constexpr std::size_t connections_on_standby = 1;

/**
 * @return position of a host when hosts are ranked for a target by rendezvous hashing; 0 ranks first
 */
std::size_t host_rank(const std::vector<host_id>& hosts, const host_id& self, const target_id& target);

/**
 * @param limit  connections that a target accepts from all hosts together
 * @return number of active hosts that may have connections to the target: those that rank first for it
 */
std::size_t connected_hosts(std::uint32_t limit, const sharing_hosts& hosts);

/**
 * Divides the connections that one target accepts between hosts, without coordination.
 *
 * Load pattern: there are more hosts than a target accepts connections, or all hosts start at once. A target
 * resets connections beyond its limit, and reopening connections costs it slots. While there are no more
 * hosts than connections, each host gets the same share. Otherwise only some hosts use the target, with one
 * connection each: those that rank first for it by rendezvous hashing. Each host thus keeps most of its
 * targets when hosts come and go, and nearly every host can reach each shard.
 *
 * Standby hosts get one connection each, opened only for the few requests that they receive; the active hosts
 * share a fixed part of the limit.
 *
 * Hosts with different views of the membership may grant themselves more connections than the limit allows in
 * total, by one each; part of the limit is reserved for that. A host that has just started may not know the
 * others yet, while its targets may still count connections of its previous incarnation, so it uses one
 * connection until discovery_time has passed.
 *
 * @param limit   connections that the target accepts from all hosts together
 * @param hosts   all running hosts, `self` included
 * @param target  the target
 * @param up_for  how long this host has been running
 * @return connections that `self` may have; 0 if it does not use the target
 */
std::size_t connection_share(std::uint32_t limit, const sharing_hosts& hosts, const host_id& self,
                             const target_id& target, duration up_for);

/** Time until a newly started host knows the others: two rounds of state comparison. */
inline constexpr duration discovery_time = 2s;

} // namespace tamarack
