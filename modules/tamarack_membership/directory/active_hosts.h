#pragma once

#include "../hosts/host_record.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** The running hosts, divided into those to which callers are sent and those on standby. */
struct active_hosts {
    std::vector<host_record> active;
    std::vector<host_id> standby; ///< not offered to callers until the load rises or active hosts fail
    std::uint32_t load = 0;       ///< total load of all hosts, in thousandths of a core

    bool operator==(const active_hosts&) const = default;
};

/**
 * Chooses the hosts to which callers are sent, from their capacity and their load. All hosts with the same
 * records choose the same hosts.
 *
 * Load pattern: many small hosts beside a few that are several times as fast, and requests that each take
 * tens of milliseconds of a host's processor. On a small host the processing alone takes longer than the
 * latency objective, and if connections were spread over all hosts, each would be used so rarely that the
 * target would close it between two uses. Therefore the hosts that are at least half as fast as the fastest
 * one serve all callers, together with a few others that keep the service reachable if the fast ones fail;
 * further hosts become active as the total load requires it. If all hosts are about as fast, or if one does
 * not report its capacity, all hosts are active.
 *
 * @param running  all running hosts
 */
active_hosts choose_active_hosts(std::vector<host_record> running);

/**
 * Samples hosts for one caller, which picks one of them at random: of the hosts that are less than half as
 * fast as the fastest one, the slower a host, the less often it is included.
 *
 * Load pattern: callers keep their connections open, but close those to hosts that a later answer leaves out.
 * In the end nearly all connections go to the hosts that are always included, while each active host holds an
 * equal part of the connections to targets: when targets are slow, the busy hosts run out of them. Hosts of
 * comparable speed are therefore always included.
 *
 * @param entries    hosts that accept callers
 * @param random     source of the random choices
 * @param max_count  maximum number of addresses
 * @return the hosts' addresses for callers, in random order; empty only if `entries` is
 */
std::vector<endpoint> sample_entry_addresses(const std::vector<host_record>& entries, random_source& random,
                                             std::size_t max_count);

} // namespace tamarack
