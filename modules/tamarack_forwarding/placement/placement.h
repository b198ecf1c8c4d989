#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

/** What is known of one target that could take an exchange now. */
struct placement_candidate {
    std::uint32_t slots = 1;
    std::uint32_t own_exchanges = 0;    ///< exchanges of this host that run there
    std::uint32_t reported = 0;         ///< running and waiting there, as it last said
    std::optional<duration> report_age; ///< absent when it never said
    double speed = 1.0;                 ///< time that it takes, relative to the service's other targets
    double error_share = 0.0;           ///< aged share of failures, 0 to 1
    bool far = false;                   ///< in another data centre
    bool cold = false;                  ///< started a short time ago
    bool ejected = false;               ///< failed several times in a row
    duration oldest_exchange{};         ///< how long the oldest of this host's exchanges has run there
};

/** What is to be placed. */
struct placement_demand {
    duration median_time{}; ///< median time of such exchanges
    duration p90{};         ///< time that one in ten exceeds
    duration objective{};   ///< of the request
};

/**
 * Estimates what it costs to place an exchange at a target.
 *
 * Load patterns: one slow target a shard (its relative speed counts), targets of many shards slow or dark at
 * once (queues count, and a target that holds an exchange for far longer than usual is taken for paused until
 * it answers), targets that fail part of their requests (their share of failures counts as the price of a
 * retry), a cold one, a data centre away.
 *
 * A reported load loses its meaning within the time of a few exchanges, so it fades with its age.
 *
 * @return expected time until the reply, in microseconds; lower is better
 */
double placement_cost(const placement_candidate& candidate, const placement_demand& demand);

/** @return how long an exchange waits at this target before its work begins, as far as is known here */
duration queue_wait(const placement_candidate& candidate, const placement_demand& demand);

/** @return whether the target holds an exchange for so long that it is taken for paused or dead */
bool is_stalled(const placement_candidate& candidate, const placement_demand& demand);

/**
 * Chooses the target with the lowest cost; costs that differ by little are as good as equal.
 *
 * @param candidates  at least one
 * @return its index
 */
std::size_t place(const std::vector<placement_candidate>& candidates, const placement_demand& demand,
                  random_source& random);

} // namespace tamarack
