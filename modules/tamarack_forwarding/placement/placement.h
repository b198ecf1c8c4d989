#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

/** Data about one target that could take an exchange now. */
struct placement_candidate {
    std::uint32_t slots = 1;
    std::uint32_t own_exchanges = 0;    ///< exchanges of this host running there
    std::uint32_t reported = 0;         ///< running and waiting exchanges, from its latest load report
    std::optional<duration> report_age; ///< absent if it has never reported
    double speed = 1.0;                 ///< processing time relative to the service's other targets
    double error_share = 0.0;           ///< time-decayed share of failures, 0 to 1
    bool far = false;                   ///< in another data centre
    bool cold = false;                  ///< started recently
    bool ejected = false;               ///< failed several times in a row
    duration oldest_exchange{};         ///< running time of this host's oldest exchange there
};

/** Data about the exchange to be placed. */
struct placement_demand {
    duration median_time{}; ///< median time of such exchanges
    duration p90{};         ///< 90th percentile of their time
    duration objective{};   ///< of the request
};

/**
 * Estimates the cost of placing an exchange at a target.
 *
 * Load patterns: one slow target per shard (its relative speed counts); targets of many shards that are slow
 * or unresponsive at once (queues count, and a target that holds an exchange for far longer than usual is
 * considered paused until it answers); targets that fail part of their requests (the share of failures counts
 * as the cost of a retry); cold targets.
 *
 * Load pattern: each data centre has a replica of each shard, and traffic between data centres costs money. A
 * near target is preferred until its queue would cost a noticeable share of the objective; the random spread
 * of costs is smaller than that share.
 *
 * A load report is outdated within the time of a few exchanges, so its weight decays with its age.
 *
 * @return expected time until the reply, in microseconds; lower is better
 */
double placement_cost(const placement_candidate& candidate, const placement_demand& demand);

/** @return estimated time that an exchange waits at this target before it is processed */
duration queue_wait(const placement_candidate& candidate, const placement_demand& demand);

/** @return whether the target holds an exchange for so long that it is considered paused or dead */
bool is_stalled(const placement_candidate& candidate, const placement_demand& demand);

/**
 * Chooses the target with the lowest cost, with some randomness between targets of similar cost.
 *
 * @param candidates  must not be empty
 * @return index of the chosen candidate
 */
std::size_t place(const std::vector<placement_candidate>& candidates, const placement_demand& demand,
                  random_source& random);

} // namespace tamarack
