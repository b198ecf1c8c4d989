#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>

namespace tamarack {

/** Number of a request, unique within one host's process. Never reused. */
using request_number = std::uint64_t;

/** Identifies a request that must run at most once. */
struct idempotency {
    idempotency_key key;   ///< empty for an idempotent request
    wall_time issued_at{}; ///< when the caller issued the request
};

/** A caller's request, as passed to the engine. */
struct caller_request {
    request_number number = 0;
    request_id id; ///< chosen by the caller; returned in the answer
    service_id service;
    std::string body;          ///< passed to each shard unchanged
    time_point deadline;       ///< the answer must be sent by then
    double least_coverage = 0; ///< may raise the service's least coverage, but not lower it
    shard_id only_shard;       ///< the shard to query (one if non-idempotent), or empty for all
    idempotency at_most_once;
};

} // namespace tamarack
