#pragma once

#include "../payload/forward_answer.h"
#include "rate_limiter.h"

#include <cstdint>
#include <map>

namespace tamarack {

/** How much of a request is told in the log. */
enum class log_detail {
    none,         ///< it is counted only
    outcome_only, ///< how it ended
    all_steps,    ///< each decision on its way as well
};

/**
 * Decides how much the log tells of each request.
 *
 * Load pattern: hundreds of requests a second that fail for one reason, and one among them that fails for
 * another. Whole ways are bounded by a rate for each reason, so that a flood of one kind does not hide the
 * first request of another; what ends well and in time is sampled.
 */
class request_sampling {
public:
    /** A request ended. @return what to tell of it */
    log_detail on_end(time_point now, const forward_answer& answer);

private:
    bool allows_all_steps(time_point now, forward_reason reason);

    std::map<forward_reason, rate_limiter> m_all_steps_limiters;
    std::uint64_t m_success_count = 0;
};

} // namespace tamarack
