#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/** An index version with the shard map that it belongs to. */
struct offered_version {
    index_version version;
    std::string map;

    bool operator==(const offered_version&) const = default;
};

/** A usable replica of a shard, with the share of it that this host may use. */
struct replica_view {
    target_id target;
    incarnation_id incarnation; ///< a new incarnation is a new process; no state carries over
    endpoint address;
    data_center_id data_center;
    shard_id shard;
    std::vector<offered_version> versions; ///< newest last
    std::uint32_t slots = 0;               ///< this host's share of its slots
    std::uint32_t connections = 0;         ///< this host's share of its connections
    std::uint32_t distance = 0;            ///< rank of its data centre for this host; 0 is the nearest
    std::uint32_t reported_load = 0;       ///< running and queued exchanges, as it last reported
    time_point reported_at{};

    bool operator==(const replica_view&) const = default;
};

/** A service and its replicas, as one host sees them. */
struct service_view {
    service_definition definition;
    std::vector<replica_view> replicas;
};

/** All external state that the engine's decisions depend on. Immutable; replaced as a whole. */
struct serving_view {
    ticket_number ticket;
    std::map<service_id, service_view> services;
};

using serving_view_pointer = std::shared_ptr<const serving_view>;

} // namespace tamarack
