#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarack {

/** The hosts that share a target's connections. */
struct sharing_hosts {
    std::vector<host_id> active;  ///< callers are sent to them
    std::vector<host_id> standby; ///< callers come to them by exception

    bool operator==(const sharing_hosts&) const = default;
};

/** Connections to a target that a host on standby may have, for the few requests that come to it. */
inline constexpr std::size_t connections_on_standby = 1;

/**
 * Divides the connections that one target accepts over the hosts, without asking anybody.
 *
 * Load pattern: more hosts than a target accepts connections, or a start of all hosts at once; a target
 * resets what exceeds its limit, and reopened connections cost it slots. While there are fewer hosts than
 * connections each host has the same share. Otherwise only some hosts use the target, one connection each:
 * those that rank first for it by rendezvous hashing, so that each host keeps most of its targets when hosts
 * come and go, and each shard stays within reach of nearly every host.
 *
 * Hosts on standby get one connection each, opened only for the few requests that come to them; the active
 * ones divide what a part of the limit leaves.
 *
 * Watch out: hosts that know different hosts may grant themselves one connection more than the sum allows; a
 * part of the limit is kept free for that. A host that has just started believes itself nearly alone, while
 * its targets may still count connections of its former incarnation: it takes one connection until it has met
 * the others.
 *
 * @param limit   connections that the target accepts from all hosts together
 * @param hosts   all hosts that run, this one among them
 * @param target  the target
 * @param up_for  how long this host has been running
 * @return connections that `self` may have; 0 when it does not use the target
 */
std::size_t connection_share(std::uint32_t limit, const sharing_hosts& hosts, const host_id& self,
                             const target_id& target, duration up_for);

/** After this time a host that has started knows the others: two comparisons of states. */
inline constexpr duration discovery_time = 2s;

} // namespace tamarack
