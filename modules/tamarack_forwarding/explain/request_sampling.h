#pragma once

#include "../payload/forward_answer.h"
#include "rate_limiter.h"

#include <cstdint>
#include <map>

namespace tamarack {

/** How much of a request is written to the log. */
enum class log_detail {
    none,         ///< nothing; the request is only counted
    outcome_only, ///< how the request ended
    all_steps,    ///< each decision about the request as well
};

/**
 * Decides how much of each request is logged.
 *
 * Load pattern: hundreds of requests a second fail for one reason, and a single one among them for another.
 * Logs with all steps are rate-limited per reason, so that many requests of one kind do not hide the first of
 * another. Requests that succeed in time are sampled; those that took several exchanges are logged more
 * often, as they are the ones whose answer a caller may question.
 */
class request_sampling {
public:
    request_sampling();
    /** A request ended. @return how much of it to log */
    log_detail on_end(time_point now, const forward_answer& answer);

private:
    bool allows_all_steps(time_point now, forward_reason reason);

    std::map<forward_reason, rate_limiter> m_all_steps_limiters;
    rate_limiter m_repeated_limiter;
    std::uint64_t m_success_count = 0;
};

} // namespace tamarack
