#pragma once

#include "../budget/extra_load_budget.h"
#include "../hedging/latency_histogram.h"
#include "../versions/version_candidates.h"
#include "attempt_kind.h"
#include "replica.h"

#include <deque>
#include <map>

namespace tamarack {

struct service_state;

/** An exchange that waits for a slot and a connection. */
struct waiting_exchange {
    request_number request = 0;
    std::size_t shard_index = 0;
    std::uint32_t generation = 0; ///< generation of the request when the exchange was queued
    attempt_kind kind = attempt_kind::first;
};

/** State of a shard of a service on this host. */
struct shard_state {
    shard_id id;
    service_state* service = nullptr;
    std::vector<replica_pointer> replicas;
    std::deque<waiting_exchange> waiting;
    latency_histogram latency;
    bool dirty = false; ///< its waiting exchanges have to be checked
};

/** State of a service on this host. */
struct service_state {
    std::uint64_t number = 0;
    service_definition definition;
    bool listed = true;
    std::map<shard_id, shard_state> shards;
    std::vector<replica_pointer> replicas;
    std::vector<version_candidate> versions; ///< newest first
    time_point versions_until{};             ///< when the list has to be rebuilt
    extra_load_budget budget;
    std::deque<request_number> queue; ///< admitted but not started; oldest first
    std::size_t running = 0;
    std::size_t running_limit = 1;   ///< maximum number of concurrent requests
    double typical_latency_us = 0;   ///< typical latency of complete queries, from their start
    time_point wait_target_met_at{}; ///< when a queued request last waited no longer than the target wait

    service_state(double burst, bool limited) : budget(burst, limited) {}
};

} // namespace tamarack
