#pragma once

#include "assignment.h"

#include <cstdint>

namespace tamarack {

/** The slots and connections of one replica that one host may use. */
struct replica_share {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    bool operator==(const replica_share&) const = default;
};

/** Identifies a replica for the division of its limits. */
struct replica_place {
    service_id service;
    shard_id shard;
    std::uint32_t replica = 0; ///< ordinal within the shard
};

/**
 * Divides a replica's limits among the hosts of its service. The shares of all hosts add up to exactly
 * these limits.
 *
 * Slots that cannot be divided evenly rotate with the replica's ordinal. Given replicas with equal slots,
 * each host therefore reaches each shard as long as the shard's replicas together have at least as many
 * slots as there are hosts. A host with slots also has a connection if the replica has at least as many
 * connections as slots.
 *
 * @param place   the replica
 * @param limits  its slots and connections
 * @param hosts   the service's hosts, in the order of the assignment
 * @param host    the host whose share is computed
 * @return the share; zero for a host that is not among `hosts`
 */
replica_share share_of(const replica_place& place, const replica_share& limits,
                       const std::vector<host_id>& hosts, const host_id& host);

/**
 * The share that a host may use while one assignment replaces another: the smaller of the two shares, until
 * the new assignment is settled (every lease holder applies it).
 *
 * Hosts change to the new assignment at different times. The sum of their shares always stays within the
 * limits only if each assignment is made after the previous one has settled: then no host is more than one
 * assignment behind another.
 *
 * @param before   share under the assignment that is being replaced
 * @param after    share under the new assignment
 * @param settled  whether every lease holder applies the new assignment
 */
replica_share share_during_change(const replica_share& before, const replica_share& after, bool settled);

} // namespace tamarack
