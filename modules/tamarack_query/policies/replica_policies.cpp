#include "query_policies.h"

#include <algorithm>
#include <memory>

namespace tamarack {

namespace {

constexpr double error_weight = 4.0;
constexpr double load_weight = 0.5;
constexpr double max_cost_ratio = 1.5;
constexpr double latency_floor_us = 500.0;

double cost_of(const replica_candidate& candidate) {
    const double latency = static_cast<double>(candidate.latency.count()) + latency_floor_us;
    const double load =
        static_cast<double>(candidate.slots_taken) / static_cast<double>(std::max(candidate.slots, 1U));
    return latency * (1.0 + error_weight * candidate.error_share) * (1.0 + load_weight * load);
}

double cheapest_of(const std::vector<replica_candidate>& candidates) {
    double cheapest = cost_of(candidates.front());
    for (const auto& candidate : candidates) {
        cheapest = std::min(cheapest, cost_of(candidate));
    }
    return cheapest;
}

/** @return the indices of the nearest candidates whose cost is within max_cost_ratio of the lowest cost */
std::vector<std::size_t> nearest_cheap(const std::vector<replica_candidate>& candidates) {
    const double limit = cheapest_of(candidates) * max_cost_ratio;
    std::vector<std::size_t> good;
    std::uint32_t nearest = UINT32_MAX;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (cost_of(candidate) > limit || candidate.distance > nearest) {
            continue;
        }
        if (candidate.distance < nearest) {
            nearest = candidate.distance;
            good.clear();
        }
        good.push_back(index);
    }
    return good;
}

} // namespace

std::size_t choose_power_of_two(const std::vector<replica_candidate>& candidates, random_source& random) {
    if (candidates.size() == 1) {
        return 0;
    }
    const auto good = nearest_cheap(candidates);
    const std::size_t first = good[random.below(good.size())];
    const std::size_t second = good[random.below(good.size())];
    return cost_of(candidates[second]) < cost_of(candidates[first]) ? second : first;
}

std::size_t choose_random(const std::vector<replica_candidate>& candidates, random_source& random) {
    return random.below(candidates.size());
}

std::size_t choose_least_outstanding(const std::vector<replica_candidate>& candidates,
                                     random_source& /*random*/) {
    const auto fewer = [](const replica_candidate& left, const replica_candidate& right) {
        return left.slots_taken < right.slots_taken;
    };
    const auto least = std::min_element(candidates.begin(), candidates.end(), fewer);
    return static_cast<std::size_t>(least - candidates.begin());
}

replica_choice choose_round_robin() {
    auto turn = std::make_shared<std::size_t>(0);
    return [turn](const std::vector<replica_candidate>& candidates, random_source& /*random*/) {
        return (*turn)++ % candidates.size();
    };
}

} // namespace tamarack
