#include "extra_budget.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Share of the bounds that is given out; the rest covers the way from here to the target. */
constexpr double share_used = 0.8;

} // namespace

extra_budget::slice& extra_budget::current(time_point now) {
    const std::int64_t length =
        std::max<std::int64_t>(m_limits.window.count() / static_cast<std::int64_t>(slices), 1);
    const std::int64_t number = now.time_since_epoch().count() / length;
    slice& found = m_slices.at(static_cast<std::size_t>(number) % m_slices.size());
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

void extra_budget::on_request(time_point now) {
    ++current(now).requests;
}

extra_load_counts extra_budget::within_window(time_point now) {
    const std::int64_t newest = current(now).number;
    extra_load_counts counts;
    counts.taken = m_open;
    for (const slice& item : m_slices) {
        if (item.number + static_cast<std::int64_t>(slices) >= newest) {
            counts.requests += item.requests;
            counts.taken += item.taken;
        }
    }
    return counts;
}

bool extra_budget::idle(time_point now) {
    const extra_load_counts counts = within_window(now);
    return counts.requests == 0 && counts.taken == 0;
}

double extra_budget::left(time_point now, double allowance_part) {
    const extra_load_counts counts = within_window(now);
    return share_used * (m_limits.ratio * counts.requests + m_limits.allowance * allowance_part) -
           counts.taken;
}

bool extra_budget::try_open(time_point now, double allowance_part) {
    if (left(now, allowance_part) < 1.0) {
        return false;
    }
    ++m_open;
    return true;
}

void extra_budget::close(time_point now) {
    require_invariant(m_open > 0, "a charge is closed once");
    --m_open;
    ++current(now).taken;
}

void extra_budget::cancel() {
    require_invariant(m_open > 0, "a charge is cancelled once");
    --m_open;
}

} // namespace tamarack
