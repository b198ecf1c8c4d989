#pragma once

#include "../exchange/exchange.h"
#include "../view/serving_view.h"
#include "replica_observations.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tamarack {

/** One incarnation of a target as this host uses it: its view, its connections, the slots taken and what was
 * seen.
 */
struct replica {
    std::uint64_t number = 0; ///< names this incarnation within the engine; never reused
    service_id service;
    replica_view view;
    bool listed = true;                             ///< in the current view
    bool leaving = false;                           ///< it said that it drains
    std::map<index_version, time_point> lost_until; ///< versions that it said it does not hold

    std::uint32_t slots_taken = 0;
    std::uint32_t unproven_running = 0; ///< exchanges whose content no target has completed
    std::uint32_t open_connections = 0; ///< dialing ones included
    std::uint32_t dialing = 0;
    std::vector<connection_number> idle; ///< the one used last is at the back

    time_point first_seen{};
    time_point dial_after{};
    duration dial_backoff{};
    time_point shed_until{};
    time_point replied_at{}; ///< when the last reply came, on any connection
    replica_observations observed;

    /** @return whether a new exchange may go there, connections and slots aside */
    bool usable(time_point now) const { return listed && !leaving && shed_until <= now; }

    /** @return how many connections exchanges may use: one of this host's share is left to cancels */
    std::uint32_t connection_limit() const {
        return view.connections > 1 ? view.connections - 1 : view.connections;
    }
    /** @return whether more connections are open than this host's share */
    bool has_surplus() const { return open_connections > connection_limit(); }

    /** @return whether it can serve the index version, as far as is known */
    bool holds(const offered_version& wanted, time_point now) const;
};

using replica_pointer = std::shared_ptr<replica>;

} // namespace tamarack
