#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarack {

/**
 * Percentiles of latencies over a recent past: buckets of equal ratio, halved whenever they fill up.
 *
 * The value of one percentile is kept between updates, so that asking for it is cheap.
 */
class latency_histogram {
public:
    void add(duration latency);

    /** @return how many samples it rests on, the halved ones by half */
    std::uint32_t samples() const { return m_samples; }

    /**
     * @param share  from 0 to 1, such as 0.97
     * @return the latency that this share of samples stays below; zero without samples
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
