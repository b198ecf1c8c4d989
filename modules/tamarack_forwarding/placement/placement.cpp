#include "placement.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/** Time in which a report's weight decays to 1/e: about the turnover time of a target with few slots. */
constexpr duration report_decay_time = 100ms;
/** Wait at a near target that is accepted to avoid traffic between data centres, as a share of the objective.
 */
constexpr double far_share = 0.1;
/** Factor by which work takes longer on a cold target. */
constexpr double cold_factor = 1.6;
/** An exchange that has run for this multiple of the 90th percentile indicates a paused target. */
constexpr double stall_factor = 2.0;
/** Added for a paused target: the length of a typical pause. */
constexpr double stall_cost = 100'000.0;
/** Added for an ejected target, so that it is used only if there is no other. */
constexpr double ejected_cost = 2'000'000.0;
/** Relative slowdown when all slots are busy. */
constexpr double contention = 0.15;
/** Random relative spread of costs, so that hosts with the same data do not all choose the same target. */
constexpr double cost_spread = 0.05;

double expected_load(const placement_candidate& candidate) {
    double reported = 0.0;
    if (candidate.report_age) {
        const double age = static_cast<double>(candidate.report_age->count());
        reported = candidate.reported * std::exp(-age / static_cast<double>(report_decay_time.count()));
    }
    return std::max<double>(candidate.own_exchanges, reported);
}

} // namespace

bool is_stalled(const placement_candidate& candidate, const placement_demand& demand) {
    const double stalled_after = stall_factor * static_cast<double>(demand.p90.count()) * candidate.speed;
    return candidate.own_exchanges > 0 &&
           static_cast<double>(candidate.oldest_exchange.count()) > stalled_after;
}

duration queue_wait(const placement_candidate& candidate, const placement_demand& demand) {
    const double slots = std::max<double>(candidate.slots, 1.0);
    const double queued = std::max(0.0, expected_load(candidate) + 1.0 - slots);
    const double expected_time = static_cast<double>(demand.median_time.count()) * candidate.speed;
    return duration{static_cast<std::int64_t>(expected_time * queued / slots)};
}

double placement_cost(const placement_candidate& candidate, const placement_demand& demand) {
    const double expected_time = static_cast<double>(demand.median_time.count()) * candidate.speed *
                                 (candidate.cold ? cold_factor : 1.0);
    const double slots = std::max<double>(candidate.slots, 1.0);
    const double load = expected_load(candidate);
    const double queued = std::max(0.0, load + 1.0 - slots);
    double cost = expected_time * (1.0 + queued / slots + contention * std::min(load, slots) / slots);
    cost += candidate.error_share * static_cast<double>(demand.objective.count());
    if (candidate.far) {
        cost += far_share * static_cast<double>(demand.objective.count());
    }
    if (is_stalled(candidate, demand)) {
        cost += stall_cost;
    }
    if (candidate.ejected) {
        cost += ejected_cost;
    }
    return cost;
}

std::size_t place(const std::vector<placement_candidate>& candidates, const placement_demand& demand,
                  random_source& random) {
    require_invariant(!candidates.empty(), "there is a target to choose");
    std::size_t best = 0;
    double best_cost = 0.0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double cost = placement_cost(candidates[index], demand) * (1.0 + cost_spread * random.unit());
        if (index == 0 || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace tamarack
