#include "random_source.h"

#include "../errors/invariant.h"

#include <cmath>

namespace tamarack {

std::uint64_t random_source::below(std::uint64_t bound) {
    require_invariant(bound > 0, "the exclusive upper bound of a random number is above zero");
    const std::uint64_t unbiased_limit = UINT64_MAX - UINT64_MAX % bound;
    std::uint64_t drawn = m_engine();
    while (drawn >= unbiased_limit) {
        drawn = m_engine();
    }
    return drawn % bound;
}

double random_source::unit() {
    constexpr double two_to_minus_53 = 0x1.0p-53;
    return static_cast<double>(m_engine() >> 11U) * two_to_minus_53;
}

duration random_source::between(duration low, duration high) {
    require_invariant(low <= high, "the lower bound of a random duration is not above its upper bound");
    const auto width = static_cast<std::uint64_t>((high - low).count());
    return low + duration{static_cast<duration::rep>(below(width + 1))};
}

duration random_source::exponential(duration mean) {
    const double factor = -std::log1p(-unit());
    return duration{std::llround(factor * static_cast<double>(mean.count()))};
}

} // namespace tamarack
