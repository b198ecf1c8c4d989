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
    std::uint32_t generation = 0; ///< of the request's version choice
    attempt_kind kind = attempt_kind::first;
};

/** A shard of a service as this host serves it. */
struct shard_state {
    shard_id id;
    service_state* service = nullptr;
    std::vector<replica_pointer> replicas;
    std::deque<waiting_exchange> waiting;
    latency_histogram latency;
    bool dirty = false; ///< a slot or connection may have become free
};

/** A service as this host serves it. */
struct service_state {
    std::uint64_t number = 0;
    service_definition definition;
    bool listed = true;
    std::map<shard_id, shard_state> shards;
    std::vector<replica_pointer> replicas;
    std::vector<version_candidate> versions; ///< newest first
    time_point versions_until{};             ///< when they are to be listed again
    extra_load_budget budget;
    std::deque<request_number> queue; ///< admitted, not started; oldest first
    std::size_t running = 0;
    std::size_t running_limit = 1;   ///< requests started at once
    double typical_latency_us = 0;   ///< of whole queries, from their start
    time_point wait_target_met_at{}; ///< when a queued request had last waited no longer than the target

    service_state(double burst, bool limited) : budget(burst, limited) {}
};

} // namespace tamarack
