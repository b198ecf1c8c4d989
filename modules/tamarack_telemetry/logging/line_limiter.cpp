#include "line_limiter.h"

#include <algorithm>

namespace tamarack {

bool line_limiter::allow(time_point now, std::string_view event) {
    auto found = m_buckets.find(event);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(std::string{event}, bucket{m_limits.burst, now, 0}).first;
    }
    bucket& state = found->second;
    const double passed = std::chrono::duration<double>(std::max(now - state.filled_at, duration{0})).count();
    state.tokens = std::min(m_limits.burst, state.tokens + passed * m_limits.lines_per_second);
    state.filled_at = std::max(state.filled_at, now);
    if (state.tokens < 1.0) {
        ++state.suppressed;
        return false;
    }
    state.tokens -= 1.0;
    return true;
}

std::vector<std::pair<std::string, std::uint64_t>> line_limiter::take_suppressed() {
    std::vector<std::pair<std::string, std::uint64_t>> result;
    for (auto& [event, state] : m_buckets) {
        if (state.suppressed > 0) {
            result.emplace_back(event, std::exchange(state.suppressed, 0));
        }
    }
    return result;
}

} // namespace tamarack
