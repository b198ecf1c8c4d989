#include "extra_budget.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Fraction of the bounds that is used; the rest allows for the delay between sending and arrival. */
constexpr double usable_share = 0.8;

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
    counts.extra_exchanges = m_open;
    for (const slice& item : m_slices) {
        if (item.number + slices_in_window >= newest) {
            counts.requests += item.requests;
            counts.extra_exchanges += item.extra_exchanges;
        }
    }
    return counts;
}

bool extra_budget::idle(time_point now) {
    const extra_load_counts counts = within_window(now);
    return counts.requests == 0 && counts.extra_exchanges == 0;
}

extra_budget::prefix_sums extra_budget::compute_prefix_sums(time_point now) {
    const std::int64_t newest = current(now).number;
    prefix_sums result;
    for (std::size_t index = 0; index < slices; ++index) {
        const std::int64_t number = newest - static_cast<std::int64_t>(slices - 1 - index);
        const slice& item = m_slices.at(static_cast<std::size_t>(std::max<std::int64_t>(number, 0)) % slices);
        const bool counts = item.number == number;
        result.requests[index + 1] = result.requests[index] + (counts ? item.requests : 0);
        result.extra_exchanges[index + 1] =
            result.extra_exchanges[index] + (counts ? item.extra_exchanges : 0);
    }
    return result;
}

double extra_budget::available(time_point now, double allowance_part) {
    constexpr std::size_t window = slices_in_window;
    constexpr std::size_t half = window / 2;
    const prefix_sums counted = compute_prefix_sums(now);
    const auto requests = [&counted](std::size_t first, std::size_t end) {
        return static_cast<double>(counted.requests[std::min(end, slices)] - counted.requests[first]);
    };
    const auto allowed = [&](double counted_requests) {
        return usable_share * (m_limits.ratio * counted_requests + m_limits.allowance * allowance_part);
    };
    const auto extra_exchanges = [&](std::size_t first) {
        return static_cast<double>(counted.extra_exchanges[slices] - counted.extra_exchanges[first] + m_open);
    };
    double least = allowed(requests(window, slices)) - extra_exchanges(window);
    // A window may begin anywhere in its first slice, so only slices that lie entirely within it are counted.
    for (std::size_t first = window; first < slices; ++first) {
        const double most = std::max({requests(first + 1, slices), requests(first - window + 1, first),
                                      requests(first - half + 1, first + half)});
        least = std::min(least, allowed(most) - extra_exchanges(first));
    }
    return least;
}

bool extra_budget::try_open(time_point now, double allowance_part) {
    if (available(now, allowance_part) < 1.0) {
        return false;
    }
    ++m_open;
    return true;
}

void extra_budget::close(time_point now) {
    require_invariant(m_open > 0, "a charge is closed once");
    --m_open;
    ++current(now).extra_exchanges;
}

void extra_budget::cancel() {
    require_invariant(m_open > 0, "a charge is cancelled once");
    --m_open;
}

} // namespace tamarack
