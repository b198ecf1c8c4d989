#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarack {

/**
 * Percentiles of recent latencies. The range between two powers of two (an octave) is split into buckets of
 * equal width; all counts are halved when the number of samples reaches max_samples.
 *
 * The last percentile computed is cached for a number of calls, so that repeated calls are cheap.
 */
class latency_histogram {
public:
    void add(duration latency);

    /** @return the number of samples, as reduced by halving */
    std::uint32_t samples() const { return m_samples; }

    /**
     * @param share  from 0 to 1, such as 0.97
     * @return the latency that this share of the samples does not exceed; zero if there are no samples
     */
    duration percentile(double share) const;

private:
    static constexpr std::size_t buckets = 96;
    static constexpr std::uint32_t max_samples = 4'096;

    std::array<std::uint32_t, buckets> m_counts{};
    std::uint32_t m_samples = 0;
    mutable double m_cached_share = -1;
    mutable duration m_cached{};
    mutable std::uint32_t m_cached_uses = 0;

    void halve();
};

} // namespace tamarack
