#include "burn_rate.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration bucket_length = 10s;

time_point bucket_start(time_point now) {
    const duration since_start = now.time_since_epoch();
    return time_point{since_start - since_start % bucket_length};
}

double burn_rate_of(const request_counts& counts, const service_objective& objective) {
    if (counts.total == 0) {
        return 0.0;
    }
    const auto bad = static_cast<double>(counts.total - counts.good);
    return bad / static_cast<double>(counts.total) / (1.0 - objective.good_share);
}

} // namespace

burn_meter::burn_meter(service_objective objective, std::vector<duration> windows)
    : m_objective(objective), m_windows(std::move(windows)) {
    require_invariant(objective.good_share > 0.0 && objective.good_share < 1.0,
                      "an objective's good share is above 0 and below 1");
    require_invariant(!m_windows.empty(), "a burn meter has at least one window");
    for (const duration window : m_windows) {
        require_invariant(window > duration{} && window % bucket_length == duration{},
                          "a burn window is a multiple of ten seconds");
    }
}

void burn_meter::on_request(time_point now, bool good) {
    if (!m_started) {
        m_started = true;
        m_first_request_at = now;
    }
    const time_point start = bucket_start(now);
    if (m_buckets.empty() || m_buckets.back().start < start) {
        m_buckets.push_back({start, {}});
    }
    require_invariant(m_buckets.back().start == start, "requests are counted in the order of time");
    request_counts& counts = m_buckets.back().counts;
    ++counts.total;
    counts.good += good ? 1U : 0U;
    const duration max_window = *std::max_element(m_windows.begin(), m_windows.end());
    while (m_buckets.front().start + bucket_length <= now - max_window) {
        m_buckets.pop_front();
    }
}

std::vector<window_burn> burn_meter::burn(time_point now) const {
    std::vector<window_burn> burns;
    for (const duration window : m_windows) {
        window_burn result;
        result.window = window;
        result.complete = m_started && now - m_first_request_at >= window;
        for (const bucket& counted : m_buckets) {
            if (counted.start + bucket_length <= now - window) {
                continue;
            }
            result.counts.good += counted.counts.good;
            result.counts.total += counted.counts.total;
        }
        result.burn_rate = burn_rate_of(result.counts, m_objective);
        burns.push_back(result);
    }
    return burns;
}

} // namespace tamarack
