#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

/** Rate limit of the lines of one event. */
struct line_limits {
    double lines_per_second = 50.0; ///< low enough for a host's disk and a reader, even for all events
    double burst = 400.0;           ///< enough to log a start, or a change of many targets, completely
};

/**
 * Limits the rate of log lines of each event, and counts the suppressed ones.
 *
 * Not thread-safe: only the thread that writes the lines may use it.
 */
class line_limiter {
public:
    explicit line_limiter(line_limits limits = {}) : m_limits(limits) {}

    /** @return whether a line of this event may be written now; if not, it is counted as suppressed */
    bool allow(time_point now, std::string_view event);

    /** @return events with the number of lines suppressed since the last call */
    std::vector<std::pair<std::string, std::uint64_t>> take_suppressed();

private:
    struct bucket {
        double tokens = 0.0;
        time_point filled_at{};
        std::uint64_t suppressed = 0;
    };

    line_limits m_limits;
    std::map<std::string, bucket, std::less<>> m_buckets;
};

} // namespace tamarack
