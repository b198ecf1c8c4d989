#pragma once

#include "../hosts/host_record.h"
#include "../shares/assignment.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** Answer to a caller that asks which addresses to use. */
struct directory_answer {
    std::vector<endpoint> addresses; ///< in the order in which the caller should try them
    duration ttl{};                  ///< the caller should ask again after this time
    ticket_number ticket;
};

/** The data from which the directory computes its answers. */
struct directory_view {
    std::vector<host_record> hosts;
    assignment assigned;
    ticket_number ticket;
};

/**
 * Computes a directory answer: the service's running hosts, those in the caller's data centre first,
 * rotated by caller so that callers are spread evenly.
 *
 * @param view     the data known to this host
 * @param service  the service
 * @param near     the caller's data centre, or empty
 * @param caller   any value that differs between callers; spreads them over the hosts
 * @param ttl      how long the caller may cache the answer
 * @return the answer, or not_found for an unknown service
 */
outcome<directory_answer> find_entries(const directory_view& view, const service_id& service,
                                       const data_center_id& near, std::uint64_t caller, duration ttl);

} // namespace tamarack
