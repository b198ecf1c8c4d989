#pragma once

#include <tamarack_forwarding/tamarack_forwarding.h>

namespace tamarack {

/**
 * Tells how requests ended, and for those that ended badly each decision on their way.
 *
 * What ends well and in time is sampled. Whole ways are bounded by a rate; beyond it only the end is told.
 */
class request_log {
public:
    /** Writes the lines of one request. */
    void write(time_point now, const forward_answer& answer);

private:
    bool take_whole(time_point now);

    double m_tokens = 0.0;
    time_point m_filled_at{};
    std::uint64_t m_good = 0;
};

} // namespace tamarack
