#include "request_times.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Margin before the objective, for the network round trip to the caller and for sending the answer. */
constexpr duration min_objective_margin = 6ms;
constexpr int objective_margin_divisor = 10;
/** Margin before the caller's deadline and the route's timeout. */
constexpr duration min_answer_deadline_margin = 10ms;
constexpr int answer_deadline_margin_divisor = 20;
/** A hedge is sent after this multiple of the 90th percentile. */
constexpr double hedge_factor = 1.4;
constexpr duration min_hedge_delay = 3ms;

} // namespace

request_times compute_request_times(const route& selected, time_point arrived,
                                    std::optional<duration> remaining_time) {
    const duration remaining = std::min(remaining_time.value_or(selected.timeout), selected.timeout);
    const duration elapsed = selected.timeout - remaining;
    const duration objective_margin = min_objective_margin + selected.objective / objective_margin_divisor;
    const duration answer_deadline_margin =
        std::max(min_answer_deadline_margin, remaining / answer_deadline_margin_divisor);
    request_times times;
    times.answer_deadline = arrived + std::max(duration{1ms}, remaining - answer_deadline_margin);
    times.objective_at =
        std::min(arrived + selected.objective - elapsed - objective_margin, times.answer_deadline);
    return times;
}

duration hedge_delay(duration p90, duration left) {
    const auto after_p90 =
        duration{static_cast<std::int64_t>(hedge_factor * static_cast<double>(p90.count()))};
    const duration latest = std::max(left / 2, duration{0});
    return std::max(min_hedge_delay, latest > duration{0} ? std::min(after_p90, latest) : after_p90);
}

} // namespace tamarack
