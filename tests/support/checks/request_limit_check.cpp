#include "request_limit_check.h"

#include <algorithm>

namespace tamarack::testing_support {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::microseconds window = 4s;
/** Time from the first statement of a limit until it must be kept. */
constexpr std::chrono::microseconds settling_time = 4s;
/** A host's requests count from this time after it was told. */
constexpr std::chrono::microseconds reaction_time = 500ms;
constexpr double tolerated_factor = 1.5;
constexpr double tolerated_requests = 5.0;

} // namespace

request_limit_check::period* request_limit_check::current(const std::string& target) {
    const auto found = std::find_if(m_periods.begin(), m_periods.end(),
                                    [&](const period& item) { return item.target == target && !item.ended; });
    return found == m_periods.end() ? nullptr : &*found;
}

void request_limit_check::on_stated(moment at, const std::string& target, std::size_t host,
                                    double per_second) {
    period* stated = current(target);
    if (stated == nullptr) {
        m_periods.push_back({target, at, false, {}, {}, {}});
        stated = &m_periods.back();
    }
    stated->limits[at] = per_second;
    stated->told.try_emplace(host, at);
}

void request_limit_check::on_lifted(const std::string& target) {
    if (period* stated = current(target)) {
        stated->ended = true;
    }
}

void request_limit_check::on_host_restarted(std::size_t host) {
    for (period& stated : m_periods) {
        stated.told.erase(host);
    }
}

void request_limit_check::on_arrival(moment at, const std::string& target, std::size_t host) {
    period* stated = current(target);
    if (stated == nullptr) {
        return;
    }
    const auto told = stated->told.find(host);
    if (told != stated->told.end() && at >= told->second + reaction_time) {
        stated->arrivals.push_back(at);
    }
}

/** @return the highest limit in force within a window */
double request_limit_check::limit_within(const period& stated, moment begins, moment ends) {
    auto item = stated.limits.upper_bound(begins);
    item = item == stated.limits.begin() ? item : std::prev(item);
    double highest = 0.0;
    for (; item != stated.limits.end() && item->first <= ends; ++item) {
        highest = std::max(highest, item->second);
    }
    return highest;
}

std::vector<request_limit_breach> request_limit_check::breaches() const {
    std::vector<request_limit_breach> found;
    const double seconds = std::chrono::duration<double>(window).count();
    for (const period& stated : m_periods) {
        request_limit_breach worst;
        double worst_excess = 0.0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < stated.arrivals.size(); ++last) {
            const moment ends = stated.arrivals[last];
            while (stated.arrivals[first] <= ends - window) {
                ++first;
            }
            const std::size_t received = last - first + 1;
            const double allowed =
                tolerated_factor * seconds * limit_within(stated, ends - window, ends) + tolerated_requests;
            const double excess = static_cast<double>(received) - allowed;
            if (ends >= stated.begins + settling_time && excess > worst_excess) {
                worst_excess = excess;
                worst = {stated.target, ends, received, allowed};
            }
        }
        if (worst_excess > 0.0) {
            found.push_back(worst);
        }
    }
    return found;
}

} // namespace tamarack::testing_support
