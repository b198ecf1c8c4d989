#pragma once

#include "../targets/model_target.h"
#include <tamarack_query/tamarack_query.h>

#include <string>
#include <vector>

namespace tamarack {

/** Data centres and the one-way latencies within and between them. */
struct network_options {
    std::vector<data_center_id> data_centers;
    duration local_one_way = 100us;
    duration remote_one_way = 1ms;
};

/** One service with its replicas and the load on it. */
struct world_options {
    std::string name;
    network_options network;
    service_definition service;
    std::uint32_t replicas = 3; ///< of each shard
    std::uint32_t slots = 5;
    std::uint32_t connections = 40;
    duration connection_cost = 6ms;
    std::size_t hosts = 3; ///< entry hosts that share the service
    service_times times;
    double load = 0.6; ///< offered load relative to the capacity of the slots
    duration deadline = 1s;
    duration length = 5s;            ///< duration of the load
    duration warm_up = 1s;           ///< requests in this initial period are not counted
    double non_idempotent_share = 0; ///< share of non-idempotent requests
    std::uint64_t bodies = 0;        ///< number of distinct bodies; 0 gives each request its own
    duration view_delay = 500ms;     ///< time until hosts learn of a change at a target
    duration claim_delay = 3ms;
    std::uint64_t seed = 1;
    query_options engine;
};

/** @return the capacity of the slots in requests per second, with no idle time between exchanges */
double capacity_per_second(const world_options& options);

} // namespace tamarack
