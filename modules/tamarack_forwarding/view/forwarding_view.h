#pragma once

#include "../budget/allowance_share.h"
#include "../crashes/target_incarnation.h"

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/** A target that may be used now. */
struct forwarding_target {
    target_id id;
    incarnation_id incarnation; ///< another incarnation is another process: nothing carries over
    service_id service;
    endpoint address;
    data_center_id data_center;
    std::uint32_t slots = 1;
    time_point warm_at{};        ///< it is slow until then
    std::size_t connections = 1; ///< that this host may have to it; see connection_share
};

inline target_incarnation incarnation_of(const forwarding_target& target) {
    return {target.id, target.incarnation};
}

/** Everything from outside that the engine's decisions rest on; immutable, replaced as a whole. */
struct forwarding_view {
    ticket_number ticket;
    std::shared_ptr<const route_table> routes; ///< nullptr while no ticket is known
    std::vector<forwarding_target> targets;
    allowance_part allowance;  ///< of the budget for extra load
    bool takes_callers = true; ///< callers are sent here: connections to targets are kept warm
};

using forwarding_view_pointer = std::shared_ptr<const forwarding_view>;

} // namespace tamarack
