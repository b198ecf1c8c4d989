#include "extra_budget.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Share of the bounds that is given out; the rest covers the way from here to the target. */
constexpr double share_used = 0.8;

} // namespace

extra_budget::slice& extra_budget::current(time_point now) {
    const std::int64_t length = std::max<std::int64_t>(m_limits.window.count() / slices_in_window, 1);
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
        if (item.number + slices_in_window >= newest) {
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

extra_budget::running_sums extra_budget::sums(time_point now) {
    const std::int64_t newest = current(now).number;
    running_sums result;
    for (std::size_t index = 0; index < slices; ++index) {
        const std::int64_t number = newest - static_cast<std::int64_t>(slices - 1 - index);
        const slice& item = m_slices.at(static_cast<std::size_t>(std::max<std::int64_t>(number, 0)) % slices);
        const bool counts = item.number == number;
        result.requests[index + 1] = result.requests[index] + (counts ? item.requests : 0);
        result.taken[index + 1] = result.taken[index] + (counts ? item.taken : 0);
    }
    return result;
}

double extra_budget::left(time_point now, double allowance_part) {
    constexpr std::size_t window = slices_in_window;
    constexpr std::size_t half = window / 2;
    const running_sums counted = sums(now);
    const auto requests = [&counted](std::size_t first, std::size_t end) {
        return static_cast<double>(counted.requests[std::min(end, slices)] - counted.requests[first]);
    };
    const auto allowed = [&](double counted_requests) {
        return share_used * (m_limits.ratio * counted_requests + m_limits.allowance * allowance_part);
    };
    const auto taken = [&](std::size_t first) {
        return static_cast<double>(counted.taken[slices] - counted.taken[first] + m_open);
    };
    double least = allowed(requests(window, slices)) - taken(window);
    // A window may begin anywhere in its first slice: only slices that lie in it for certain count for it.
    for (std::size_t first = window; first < slices; ++first) {
        const double most = std::max({requests(first + 1, slices), requests(first - window + 1, first),
                                      requests(first - half + 1, first + half)});
        least = std::min(least, allowed(most) - taken(first));
    }
    return least;
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
