#pragma once

#include "../hosts/host_record.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** The running hosts, divided by whether callers are sent to them. */
struct active_hosts {
    std::vector<host_record> active;
    std::vector<host_id> standby; ///< named to nobody until load rises or active hosts fail
    std::uint32_t load = 0;       ///< of all of them together, in thousandths of a core

    bool operator==(const active_hosts&) const = default;
};

/**
 * Chooses the hosts that callers are sent to, from their capacity and their load. All hosts that know the
 * same records choose the same ones.
 *
 * Load pattern: many small hosts beside a few that are several times as fast, and requests that cost one
 * host's processor tens of milliseconds each: on a small host the work alone takes longer than the objective,
 * and connections spread over all hosts are used so seldom that targets close them in between. The hosts that
 * are at least half as fast as the fastest one take all callers, beside a few others that keep the way open
 * when these fail; more take part as the load of all hosts asks for it. Where all hosts are about as fast, or
 * one does not tell its capacity, all are active.
 *
 * @param running  all hosts that run
 */
active_hosts choose_active_hosts(std::vector<host_record> running);

/**
 * Names hosts to one caller, who picks one of them at random: the slower a host, the more seldom it is named.
 *
 * @param entries  hosts that take callers
 * @param random   chooses
 * @param most     how many are named at most
 * @return their callers' addresses, in random order; empty only when `entries` is
 */
std::vector<endpoint> sample_entry_addresses(const std::vector<host_record>& entries, random_source& random,
                                             std::size_t max_count);

} // namespace tamarack
