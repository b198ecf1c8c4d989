#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_query/tamarack_query.h>

#include <memory>
#include <set>

namespace tamarack {

/** Inputs of a serving view. */
struct view_sources {
    host_id self;
    data_center_id data_center;
    const control_client& control;
    const target_registry& targets;
};

/** A serving view, and the targets that cancellations may be sent to. */
struct built_view {
    serving_view_pointer view;
    std::shared_ptr<const std::set<target_id>> cancellable; ///< those with a connection for cancellations
};

/**
 * Builds the view that the query engine works on: the usable replicas of each service, with this host's share
 * of their limits and the rank of their data centre.
 *
 * If the share of a replica has more than one connection, the engine reserves one for cancellations.
 *
 * @param now  timestamp of the reported loads
 */
built_view build_serving_view(const view_sources& sources, time_point now);

/**
 * @return the assignment without those hosts that can't reach some shard, because they have no slot at any of
 * its replicas. This happens if there are more hosts than slots, or while the assignment changes. If no host
 * of a service reaches all its shards, the service keeps all its hosts.
 */
assignment assigned_in_reach(const view_sources& sources);

} // namespace tamarack
