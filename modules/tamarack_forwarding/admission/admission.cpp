#include "admission.h"

#include <algorithm>

namespace tamarack {

namespace {

/** An event loop that is this far behind can't keep up; below it, the lag is that of one event. */
constexpr duration tolerated_lag = 15ms;
/** Share of the time to the objective that the most urgent requests may spend waiting. */
constexpr double urgent_wait_share = 0.8;
/** Each step of priority shortens it by this share. */
constexpr double priority_step = 0.15;
constexpr double min_wait_share = 0.3;
constexpr duration min_retry_after = 20ms;

duration scaled(duration value, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(value.count()) * factor)};
}

} // namespace

admission_decision admit(const forward_admission& inputs) {
    admission_decision decision;
    decision.expected_wait = inputs.queue;
    const duration behind = inputs.lag > tolerated_lag ? inputs.lag : duration{0};
    const duration needed = decision.expected_wait + behind + inputs.usual;
    if (needed > inputs.until_answer_deadline) {
        decision.admitted = false;
    }
    const bool hurries = inputs.until_objective > duration{0};
    const bool queues = decision.expected_wait + behind > duration{0};
    if (hurries && queues) {
        const double share = std::max(min_wait_share, urgent_wait_share - priority_step * inputs.priority);
        decision.admitted =
            decision.admitted && needed <= scaled(inputs.until_objective, share) + inputs.usual;
    }
    if (!decision.admitted) {
        decision.retry_after = std::max({min_retry_after, decision.expected_wait, behind});
    }
    return decision;
}

duration spread_return(duration retry_after, random_source& random) {
    return retry_after + random.between(duration{0}, retry_after / 2);
}

} // namespace tamarack
