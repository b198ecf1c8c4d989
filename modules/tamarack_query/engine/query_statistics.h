#pragma once

#include <cstdint>

namespace tamarack {

/** Counts for metrics, since the start of the engine unless stated otherwise. */
struct query_statistics {
    std::uint64_t first_attempts = 0;
    std::uint64_t extra_attempts = 0;     ///< hedges and retries
    std::uint64_t queued_requests = 0;    ///< at present
    std::uint64_t running_requests = 0;   ///< at present
    std::uint64_t quarantined = 0;        ///< at present
    std::uint64_t silent_connections = 0; ///< without a reply while their targets replied on others
};

} // namespace tamarack
