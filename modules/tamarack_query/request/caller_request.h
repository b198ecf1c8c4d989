#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>

namespace tamarack {

/** Number of a request within one host's process; never reused. */
using request_number = std::uint64_t;

/** What runs at most once. */
struct idempotency {
    idempotency_key key;   ///< empty for an idempotent request
    wall_time issued_at{}; ///< the caller's time of issue
};

/** A request as the callers' edge hands it to the engine. */
struct caller_request {
    request_number number = 0;
    request_id id; ///< the caller's own, returned in the answer
    service_id service;
    std::string body;          ///< passed to each shard as it is
    time_point deadline;       ///< the answer must have left by then
    double least_coverage = 0; ///< raises the service's least coverage; never lowers it
    shard_id only_shard;       ///< a non-idempotent request goes to this one shard; empty means all shards
    idempotency at_most_once;
};

} // namespace tamarack
