#pragma once

#include "../exchange/exchange.h"
#include "../view/serving_view.h"
#include "replica_observations.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace tamarack {

/** One incarnation of a target, as this host uses it: view, connections, slots in use and observations. */
struct replica {
    std::uint64_t number = 0; ///< identifies this incarnation within the engine; never reused
    service_id service;
    replica_view view;
    bool listed = true;   ///< in the current view
    bool leaving = false; ///< it replied that it is draining
    /** Until when versions it reported gone count as lost. */
    std::map<index_version, time_point> version_gone_until;

    std::uint32_t slots_taken = 0;
    std::uint32_t unproven_running = 0; ///< running exchanges whose content no target has completed
    std::uint32_t open_connections = 0; ///< including those being opened
    std::uint32_t dialing = 0;
    std::vector<connection_number> idle; ///< most recently used at the back

    time_point first_seen{};
    time_point dial_after{};
    duration dial_backoff{};
    time_point shed_until{};
    time_point replied_at{}; ///< when the last reply arrived, on any connection
    replica_observations observed;

    /** @return whether it may be sent a new exchange, regardless of connections and slots */
    bool usable(time_point now) const { return listed && !leaving && shed_until <= now; }

    /** @return how many connections exchanges may use; one of those allowed is reserved for cancellations */
    std::uint32_t connection_limit() const {
        return view.connections > 1 ? view.connections - 1 : view.connections;
    }
    /** @return whether more connections are open than exchanges may use */
    bool has_surplus() const { return open_connections > connection_limit(); }

    /** @return whether it can serve the index version, as far as this host knows */
    bool holds(const offered_version& wanted, time_point now) const;
};

using replica_pointer = std::shared_ptr<replica>;

} // namespace tamarack
