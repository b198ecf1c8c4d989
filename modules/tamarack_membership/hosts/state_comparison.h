#pragma once

#include "host_table.h"
#include "membership_message.h"

#include <cstdint>
#include <set>
#include <vector>

namespace tamarack {

/**
 * Compares this host's records with another's by hashes of groups of records.
 *
 * Records that changed just now are left out of the hashes: their news is still on its way.
 */
class state_comparison {
public:
    /** What is compared; used only during a call. */
    struct view {
        const host_record& self;
        const host_table& hosts;
        const target_registry& targets;
    };

    /** @return the hash of each group, from one group on */
    static std::vector<std::uint32_t> hashes(time_point now, const view& state, std::size_t first_group);

    /** @return the hash of the live targets that a host keeps, as known here */
    static std::uint32_t registered_hash(const view& state, const host_id& registrar);

    /** @return the answer to a request, of about `most` records */
    static sync_reply answer(time_point now, const view& state, const sync_request& request,
                             std::size_t max_count);

    /** @return this host's records of some groups */
    static membership_updates records_of(const view& state, const std::set<std::size_t>& groups);

    /** Records whose last change is more recent than this are not compared. */
    static constexpr duration settling_time = 2s;
};

} // namespace tamarack
