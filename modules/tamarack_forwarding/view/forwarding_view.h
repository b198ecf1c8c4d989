#pragma once

#include "../budget/allowance_share.h"
#include "../crashes/target_incarnation.h"

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/** A target that may currently be used. */
struct forwarding_target {
    target_id id;
    incarnation_id incarnation; ///< each is a different process, without shared state
    service_id service;
    endpoint address;
    data_center_id data_center;
    std::uint32_t slots = 1;
    time_point warm_at{};            ///< end of its warm-up, during which it is slow
    std::size_t connections = 1;     ///< that this host may open to it; see connection_share
    std::size_t connected_hosts = 1; ///< active hosts that may have connections to it
};

inline target_incarnation incarnation_of(const forwarding_target& target) {
    return {target.id, target.incarnation};
}

/** All external inputs of the engine's decisions; immutable, replaced as a whole. */
struct forwarding_view {
    ticket_number ticket;
    std::shared_ptr<const route_table> routes; ///< nullptr while no ticket is known
    std::vector<forwarding_target> targets;
    allowance_part allowance; ///< of the budget for extra load
    /** Hosts that divide the targets' request limits; nullptr while this host doesn't know the others. */
    std::shared_ptr<const std::vector<host_id>> limit_hosts;
    /** Hosts that serve callers, as far as this host knows them. */
    std::vector<host_id> serving_hosts;
    std::vector<data_center_id> evacuated; ///< to whose targets nothing new is sent, by order of operators
    /** Whether this host knows the evacuation orders. Without them it sends nothing, as any target may be in
     * an evacuated data centre. */
    bool evacuations_known = true;
    bool takes_callers = true; ///< callers are directed to this host, so connections are kept warm
};

using forwarding_view_pointer = std::shared_ptr<const forwarding_view>;

} // namespace tamarack
