#include "admission.h"

#include <algorithm>

namespace tamarack {

namespace {

/**
 * Lag above which the event loop counts as overloaded; below it, the lag is that of processing one event.
 */
constexpr duration tolerated_lag = 15ms;
/** Share of the time to the objective that the most urgent requests may spend waiting. */
constexpr double urgent_wait_share = 0.8;
/** Each step of lower priority reduces the waiting share by this amount. */
constexpr double priority_step = 0.15;
constexpr double min_wait_share = 0.3;

duration scaled(duration value, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(value.count()) * factor)};
}

} // namespace

admission_decision admit(const forward_admission_inputs& inputs) {
    admission_decision decision;
    decision.expected_wait = inputs.queue_time;
    const duration loop_lag = inputs.lag > tolerated_lag ? inputs.lag : duration{0};
    const duration time_needed = decision.expected_wait + loop_lag + inputs.median_time;
    if (time_needed > inputs.until_answer_deadline) {
        decision.admitted = false;
    }
    const bool before_objective = inputs.until_objective > duration{0};
    const bool must_queue = decision.expected_wait + loop_lag > duration{0};
    if (before_objective && must_queue) {
        const double share = std::max(min_wait_share, urgent_wait_share - priority_step * inputs.priority);
        decision.admitted =
            decision.admitted && time_needed <= scaled(inputs.until_objective, share) + inputs.median_time;
    }
    if (!decision.admitted) {
        decision.retry_after = std::max({min_retry_after, decision.expected_wait, loop_lag});
    }
    return decision;
}

bool is_short(const forward_admission_inputs& inputs) {
    forward_admission_inputs doubled = inputs;
    doubled.queue_time = 2 * inputs.queue_time;
    doubled.lag = inputs.lag > tolerated_lag ? 2 * inputs.lag : duration{0};
    return !admit(doubled).admitted && (doubled.queue_time > duration{0} || doubled.lag > duration{0});
}

duration add_retry_jitter(duration retry_after, random_source& random) {
    return retry_after + random.between(duration{0}, retry_after / 2);
}

} // namespace tamarack
