#include "assignment.h"

#include "assignment_planner.h"

#include <algorithm>

namespace tamarack {

namespace {

std::size_t hosts_wanted(const service_definition& service, std::size_t available,
                         const service_host_bounds& bounds) {
    std::size_t wanted = std::clamp<std::size_t>(service.entry_hosts, 1, std::max<std::size_t>(available, 1));
    const auto bound = bounds.find(service.id);
    if (bound != bounds.end()) {
        wanted = std::min<std::size_t>(wanted, std::max<std::uint32_t>(bound->second, 1));
    }
    return std::min(wanted, available);
}

std::vector<candidate_host> with_ordered_drains(const configuration& wanted,
                                                std::vector<candidate_host> candidates) {
    for (candidate_host& candidate : candidates) {
        const auto order = wanted.hosts.find(candidate.host);
        const bool drain_ordered =
            order != wanted.hosts.end() && order->second.intent == host_intent::draining;
        candidate.draining = candidate.draining || drain_ordered;
    }
    return candidates;
}

} // namespace

std::optional<assignment> plan_assignment(const assignment& current, const configuration& wanted,
                                          const std::vector<candidate_host>& candidates,
                                          const service_host_bounds& bounds) {
    assignment_planner planner{with_ordered_drains(wanted, candidates)};
    static const std::vector<host_id> no_hosts;
    for (const auto& [service, definition] : wanted.services) {
        const auto found = current.services.find(service);
        const std::vector<host_id>& hosts = found == current.services.end() ? no_hosts : found->second;
        planner.keep_current(service, hosts, hosts_wanted(definition, planner.hosts(), bounds));
    }
    for (const auto& [service, definition] : wanted.services) {
        planner.fill(service, hosts_wanted(definition, planner.hosts(), bounds));
    }
    planner.rebalance();
    if (planner.planned() == current.services) {
        return std::nullopt;
    }
    return assignment{current.epoch + 1, planner.planned()};
}

} // namespace tamarack
