#pragma once

#include "../hosts/host_record.h"
#include "../shares/assignment.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** Answer to a caller who asks which addresses to use. */
struct directory_answer {
    std::vector<endpoint> addresses; ///< in the order in which to try them
    duration ttl{};                  ///< ask again after this
    ticket_number ticket;
};

/** What the directory is worked out from. */
struct directory_view {
    std::vector<host_record> hosts;
    assignment assigned;
    ticket_number ticket;
};

/**
 * Works out a directory answer: the service's hosts, the live ones first, near ones first, rotated by the
 * caller so that callers spread evenly.
 *
 * @param view      what this host knows
 * @param service   which service
 * @param near      the caller's data centre, or empty
 * @param caller    anything that differs between callers; spreads them
 * @param ttl  how long the caller may keep the answer
 * @return the answer; for an unknown service, not_found
 */
outcome<directory_answer> find_entries(const directory_view& view, const service_id& service,
                                       const data_center_id& near, std::uint64_t caller, duration ttl);

} // namespace tamarack
