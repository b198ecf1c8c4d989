#include "line_limiter.h"

#include <algorithm>

namespace tamarack {

bool line_limiter::allow(time_point now, std::string_view event) {
    auto found = m_buckets.find(event);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(std::string{event}, bucket{m_limits.burst, now, 0}).first;
    }
    bucket& kept = found->second;
    const double passed = std::chrono::duration<double>(std::max(now - kept.filled_at, duration{0})).count();
    kept.tokens = std::min(m_limits.burst, kept.tokens + passed * m_limits.lines_per_second);
    kept.filled_at = std::max(kept.filled_at, now);
    if (kept.tokens < 1.0) {
        ++kept.left_out;
        return false;
    }
    kept.tokens -= 1.0;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> line_limiter::take_left_out() {
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto& [event, kept] : m_buckets) {
        if (kept.left_out > 0) {
            result.emplace_back(event, std::exchange(kept.left_out, 0));
        }
    }
    return result;
}

} // namespace tamarack
