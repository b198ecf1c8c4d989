#include "service_times.h"

#include <array>
#include <cmath>
#include <cstring>
#include <numbers>

namespace tamarack {

namespace {

double to_unit_interval(std::uint64_t bits) {
    constexpr double two_to_minus_53 = 0x1.0p-53;
    return (static_cast<double>(bits >> 11U) + 0.5) * two_to_minus_53;
}

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

duration service_times::draw(std::uint64_t seed, std::uint64_t request, std::uint64_t sample_key) const {
    const std::uint64_t base = mix(mix(seed + 1) ^ mix(request * 0x9e3779b97f4a7c15ULL) ^ sample_key);
    const double radius = std::sqrt(-2.0 * std::log(to_unit_interval(mix(base + 1))));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * to_unit_interval(mix(base + 2)));
    const double median = static_cast<double>(mean.count()) * std::exp(-sigma * sigma / 2.0);
    double drawn = median * std::exp(sigma * normal);
    if (to_unit_interval(mix(base + 3)) < straggler_share) {
        drawn *= straggler_factor;
    }
    return duration{std::llround(drawn)};
}

duration service_times::mean_with_stragglers() const {
    const double factor = 1.0 + straggler_share * (straggler_factor - 1.0);
    return duration{std::llround(static_cast<double>(mean.count()) * factor)};
}

} // namespace tamarack
