#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/** Distribution of service times: log-normal, with a share of stragglers. */
struct service_times {
    duration mean = 10ms; ///< without stragglers
    double sigma = 0.4;   ///< standard deviation of the logarithm
    double straggler_share = 0.0;
    double straggler_factor = 10.0;

    /**
     * Samples the service time of one exchange; the same arguments give the same time.
     *
     * @param seed        seed of the run
     * @param request     number of the request
     * @param sample_key  distinguishes shards and targets
     */
    duration draw(std::uint64_t seed, std::uint64_t request, std::uint64_t sample_key) const;

    /** @return the mean service time, including stragglers */
    duration mean_with_stragglers() const;
};

} // namespace tamarack
