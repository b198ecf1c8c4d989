#include "extra_load_check.h"

#include <algorithm>
#include <optional>

namespace tamarack::testing_support {

namespace {

using moment = std::chrono::microseconds;

/** @return how many moments lie in [begins, ends) */
std::size_t count_within(const std::vector<moment>& sorted, moment begins, moment ends) {
    const auto first = std::lower_bound(sorted.begin(), sorted.end(), begins);
    return static_cast<std::size_t>(std::lower_bound(first, sorted.end(), ends) - first);
}

std::vector<moment> sorted_copy(std::vector<moment> moments) {
    std::sort(moments.begin(), moments.end());
    return moments;
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
    for (const auto& [service, counts] : m_services) {
        const std::vector<moment> requests = sorted_copy(counts.requests);
        const std::vector<moment> extra = sorted_copy(counts.extra);
        std::optional<extra_load_breach> worst;
        const auto look_at = [&](moment begins) {
            const moment ends = begins + bound.window;
            const moment half = bound.window / 2;
            const std::size_t most = std::max({count_within(requests, begins, ends),
                                               count_within(requests, begins - bound.window, begins),
                                               count_within(requests, begins - half, ends - half)});
            const double allowed = bound.ratio * static_cast<double>(most) + bound.allowance;
            const std::size_t got = count_within(extra, begins, ends);
            const double beyond = static_cast<double>(got) - allowed;
            if (beyond > 0.0 && (!worst || beyond > static_cast<double>(worst->extra) - worst->allowed)) {
                worst = extra_load_breach{service, begins, got, allowed};
            }
        };
        for (const moment at : extra) {
            look_at(at);
            look_at(at - bound.window + moment{1});
        }
        if (worst) {
            found.push_back(*worst);
        }
    }
    return found;
}

std::size_t extra_load_check::extra(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.extra.size();
}

} // namespace tamarack::testing_support
