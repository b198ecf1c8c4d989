#pragma once

#include <tamarack_query/tamarack_query.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/** Results of a run. Counts and latencies seen by callers exclude the warm-up. */
struct world_report {
    std::uint64_t offered = 0;
    std::array<std::uint64_t, 4> ended{}; ///< by request_outcome
    std::map<refusal_reason, std::uint64_t> refused;
    std::uint64_t in_time = 0;               ///< complete answers within the latency objective
    std::vector<duration> answer_latencies;  ///< of complete and partial answers, sorted
    std::vector<duration> refusal_latencies; ///< of requests that were not run, sorted
    std::uint64_t first_attempts = 0;
    std::uint64_t extra_attempts = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t cancels = 0;
    std::uint32_t max_running = 0;                ///< at one target
    std::uint32_t max_connections = 0;            ///< at one target
    std::uint64_t wrong_parts = 0;                ///< parts with a wrong request, shard or version
    std::uint64_t late_answers = 0;               ///< answers after the deadline
    std::uint64_t false_not_run = 0;              ///< answered not_run although a target ran it
    std::uint64_t run_twice = 0;                  ///< non-idempotent requests that ran more than once
    std::map<std::string, std::uint64_t> crashes; ///< crashed targets by request body
    std::uint64_t false_quarantines = 0;
    duration length{};

    /** @return the latency that this share of answers did not exceed */
    static duration percentile(const std::vector<duration>& sorted, double share);
    double complete_share() const;
    double refused_share() const;
    double extra_load() const;
};

} // namespace tamarack
