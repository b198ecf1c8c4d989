#pragma once

#include "host_table.h"
#include "membership_message.h"

#include <cstdint>
#include <set>
#include <vector>

namespace tamarack {

/**
 * Compares this host's records with those of another host by hashes of groups of records.
 *
 * Records that changed very recently are left out of the hashes, because their updates are still in
 * transit.
 */
class state_comparison {
public:
    /** The state to compare; valid only during a call. */
    struct view {
        const host_record& self;
        const host_table& hosts;
        const target_registry& targets;
    };

    /** @return the hash of each group, starting at first_group */
    static std::vector<std::uint32_t> hashes(time_point now, const view& state, std::size_t first_group);

    /** @return the hash of the live targets registered at a host, as known here */
    static std::uint32_t registered_hash(const view& state, const host_id& registrar);

    /** @return the answer to a request, with about `max_count` records */
    static sync_reply answer(time_point now, const view& state, const sync_request& request,
                             std::size_t max_count);

    /** @return this host's records of some groups */
    static membership_updates records_of(const view& state, const std::set<std::size_t>& groups);

    /** Records that changed more recently than this are not compared. */
    static constexpr duration settling_time = 2s;
};

} // namespace tamarack
