#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace tamarack {

namespace {

constexpr unsigned steps_per_octave = 8;
constexpr unsigned lowest_octave = 7; // 128 us
constexpr std::uint32_t max_cached_uses = 64;

std::size_t bucket_of(duration latency, std::size_t buckets) {
    const auto value = static_cast<std::uint64_t>(std::max<duration::rep>(latency.count(), 1));
    const auto octave = static_cast<unsigned>(std::bit_width(value)) - 1U;
    if (octave < lowest_octave) {
        return 0;
    }
    const auto step = static_cast<unsigned>((value >> (octave - 3U)) & 7U);
    const std::size_t bucket = std::size_t{octave - lowest_octave} * steps_per_octave + step + 1U;
    return std::min(bucket, buckets - 1U);
}

duration upper_bound_of(std::size_t bucket) {
    if (bucket == 0) {
        return duration{1U << lowest_octave};
    }
    const std::size_t octave = (bucket - 1U) / steps_per_octave + lowest_octave;
    const std::size_t step = (bucket - 1U) % steps_per_octave;
    return duration{static_cast<duration::rep>((steps_per_octave + step + 1U) << (octave - 3U))};
}

} // namespace

void latency_histogram::add(duration latency) {
    ++m_counts[bucket_of(latency, buckets)];
    ++m_samples;
    if (m_samples >= max_samples) {
        halve();
    }
}

void latency_histogram::halve() {
    m_samples = 0;
    for (auto& count : m_counts) {
        count /= 2U;
        m_samples += count;
    }
}

duration latency_histogram::percentile(double share) const {
    if (m_samples == 0) {
        return duration{0};
    }
    if (m_cached_share == share && ++m_cached_uses < max_cached_uses) {
        return m_cached;
    }
    const auto wanted = static_cast<std::uint32_t>(std::ceil(share * m_samples));
    std::uint32_t below = 0;
    std::size_t bucket = 0;
    while (bucket + 1U < buckets && below + m_counts[bucket] < wanted) {
        below += m_counts[bucket];
        ++bucket;
    }
    m_cached_share = share;
    m_cached_uses = 0;
    m_cached = upper_bound_of(bucket);
    return m_cached;
}

} // namespace tamarack
