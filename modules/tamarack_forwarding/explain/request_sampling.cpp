#include "request_sampling.h"

namespace tamarack {

namespace {

/** Requests logged with all steps, per second and reason; a request to ten shards takes about 30 lines. */
constexpr double all_steps_per_second = 2.0;
constexpr double all_steps_burst = 10.0;
/** The same for requests that succeeded in time and took several exchanges. */
constexpr double repeated_per_second = 0.5;
constexpr double repeated_burst = 10.0;
/** One in this many successful requests is logged. */
constexpr std::uint64_t success_sample_interval = 200;
constexpr std::uint64_t success_all_steps_interval = 2'000;

bool ended_well(const forward_answer& answer) {
    const bool replied =
        answer.outcome == forward_outcome::replied || answer.outcome == forward_outcome::merged;
    return replied && answer.reason == forward_reason::none && answer.missing == 0 && !answer.trace.late;
}

} // namespace

request_sampling::request_sampling() : m_repeated_limiter(repeated_per_second, repeated_burst) {}

log_detail request_sampling::on_end(time_point now, const forward_answer& answer) {
    if (!ended_well(answer)) {
        return allows_all_steps(now, answer.reason) ? log_detail::all_steps : log_detail::outcome_only;
    }
    const bool was_repeated = answer.trace.hedges > 0 || answer.trace.retries > 0;
    if (was_repeated && m_repeated_limiter.take(now)) {
        return log_detail::all_steps;
    }
    ++m_success_count;
    if (m_success_count % success_all_steps_interval == 0) {
        return log_detail::all_steps;
    }
    return m_success_count % success_sample_interval == 0 ? log_detail::outcome_only : log_detail::none;
}

bool request_sampling::allows_all_steps(time_point now, forward_reason reason) {
    return m_all_steps_limiters.try_emplace(reason, all_steps_per_second, all_steps_burst)
        .first->second.take(now);
}

} // namespace tamarack
