#include "request_times.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Kept free before the objective for the way to the caller and back, and for sending. */
constexpr duration min_objective_margin = 6ms;
constexpr int objective_margin_divisor = 10;
/** Kept free before the caller's deadline and the route's timeout. */
constexpr duration min_answer_deadline_margin = 10ms;
constexpr int answer_deadline_margin_divisor = 20;
/** A hedge waits for this multiple of the high percentile. */
constexpr double hedge_factor = 1.4;
constexpr duration min_hedge_delay = 3ms;

} // namespace

request_times times_of(const route& taken, time_point arrived, std::optional<duration> remaining_time) {
    const duration wanted = std::min(remaining_time.value_or(taken.timeout), taken.timeout);
    const duration passed = taken.timeout - wanted;
    const duration objective_margin = min_objective_margin + taken.objective / objective_margin_divisor;
    const duration answer_deadline_margin =
        std::max(min_answer_deadline_margin, wanted / answer_deadline_margin_divisor);
    request_times times;
    times.answer_deadline = arrived + std::max(duration{1ms}, wanted - answer_deadline_margin);
    times.objective_at =
        std::min(arrived + taken.objective - passed - objective_margin, times.answer_deadline);
    return times;
}

duration hedge_delay(duration high, duration left) {
    const auto after_high =
        duration{static_cast<std::int64_t>(hedge_factor * static_cast<double>(high.count()))};
    const duration latest = std::max(left / 2, duration{0});
    return std::max(min_hedge_delay, latest > duration{0} ? std::min(after_high, latest) : after_high);
}

} // namespace tamarack
