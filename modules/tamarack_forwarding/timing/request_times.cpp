#include "request_times.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Kept free before the objective for the way to the caller and back, and for sending. */
constexpr duration least_objective_margin = 6ms;
constexpr int objective_margin_divisor = 10;
/** Kept free before the caller's deadline and the route's timeout. */
constexpr duration least_cut_off_margin = 10ms;
constexpr int cut_off_margin_divisor = 20;
/** A hedge waits for this multiple of the high percentile. */
constexpr double hedge_factor = 1.4;
constexpr duration least_hedge_delay = 3ms;

} // namespace

request_times times_of(const route& taken, time_point arrived, std::optional<duration> patience) {
    const duration wanted = std::min(patience.value_or(taken.timeout), taken.timeout);
    const duration passed = taken.timeout - wanted;
    const duration objective_margin = least_objective_margin + taken.objective / objective_margin_divisor;
    const duration cut_off_margin = std::max(least_cut_off_margin, wanted / cut_off_margin_divisor);
    request_times times;
    times.cut_off = arrived + std::max(duration{1ms}, wanted - cut_off_margin);
    times.objective_at = std::min(arrived + taken.objective - passed - objective_margin, times.cut_off);
    return times;
}

duration hedge_delay(duration high, duration left) {
    const auto after_high =
        duration{static_cast<std::int64_t>(hedge_factor * static_cast<double>(high.count()))};
    const duration latest = std::max(left / 2, duration{0});
    return std::max(least_hedge_delay, latest > duration{0} ? std::min(after_high, latest) : after_high);
}

} // namespace tamarack
