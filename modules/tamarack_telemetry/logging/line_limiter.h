#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

/** Bounds on the lines of one event. */
struct line_limits {
    double lines_per_second = 50.0; ///< a host's disk and a reader keep up with this for all events together
    double burst = 400.0;           ///< a start or a change of many targets is told whole
};

/**
 * Bounds the lines that each event writes, and counts those that are left out.
 *
 * Not thread-safe: it belongs to whoever writes the lines.
 */
class line_limiter {
public:
    explicit line_limiter(line_limits limits = {}) : m_limits(limits) {}

    /** @return whether a line of this event may be written now; otherwise it is counted */
    bool allow(time_point now, std::string_view event);

    /** @return events with the number of lines left out since the last call */
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
