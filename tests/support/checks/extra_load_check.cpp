#include "extra_load_check.h"

#include <algorithm>
#include <utility>

namespace tamarack::testing_support {

namespace {

using moment = std::chrono::microseconds;

/** @return the number of times in [begins, ends) */
std::size_t count_within(const std::vector<moment>& sorted, moment begins, moment ends) {
    const auto first = std::lower_bound(sorted.begin(), sorted.end(), begins);
    return static_cast<std::size_t>(std::lower_bound(first, sorted.end(), ends) - first);
}

std::vector<moment> sorted_copy(std::vector<moment> moments) {
    std::sort(moments.begin(), moments.end());
    return moments;
}

/** @return the extra exchanges in the window starting at `begins`, with the number that the bound allows */
extra_load_breach count_window(const std::vector<moment>& requests, const std::vector<moment>& extra,
                               moment begins, const extra_load_bound& bound) {
    const moment ends = begins + bound.window;
    const moment half = bound.window / 2;
    const std::size_t max_requests =
        std::max({count_within(requests, begins, ends), count_within(requests, begins - bound.window, begins),
                  count_within(requests, begins - half, ends - half)});
    extra_load_breach window;
    window.begins = begins;
    window.extra = count_within(extra, begins, ends);
    window.allowed = bound.ratio * static_cast<double>(max_requests) + bound.allowance;
    return window;
}

double excess(const extra_load_breach& window) {
    return static_cast<double>(window.extra) - window.allowed;
}

} // namespace

void extra_load_check::on_request(moment at, const std::string& service) {
    m_services[service].requests.push_back(at);
}

void extra_load_check::on_arrival(moment at, const std::string& service, const std::string& request) {
    service_counts& counts = m_services[service];
    if (++counts.arrivals[request] > 1) {
        counts.extra.push_back(at);
    }
}

std::vector<extra_load_breach> extra_load_check::breaches(const extra_load_bound& bound) const {
    std::vector<extra_load_breach> found;
    for (const auto& item : m_services) {
        const std::vector<moment> requests = sorted_copy(item.second.requests);
        const std::vector<moment> extra = sorted_copy(item.second.extra);
        extra_load_breach worst;
        for (const moment at : extra) {
            for (const moment begins : {at, at - bound.window + moment{1}}) {
                extra_load_breach window = count_window(requests, extra, begins, bound);
                if (excess(window) > excess(worst)) {
                    worst = std::move(window);
                }
            }
        }
        if (excess(worst) > 0.0) {
            worst.service = item.first;
            found.push_back(std::move(worst));
        }
    }
    return found;
}

std::size_t extra_load_check::extra(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.extra.size();
}

} // namespace tamarack::testing_support
