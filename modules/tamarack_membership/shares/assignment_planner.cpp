#include "assignment_planner.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

assignment_planner::assignment_planner(const std::vector<candidate_host>& candidates) {
    for (const candidate_host& candidate : candidates) {
        if (!candidate.draining) {
            m_hosts[candidate.host].data_center = candidate.data_center;
        }
    }
}

void assignment_planner::keep_current(const service_id& service, const std::vector<host_id>& current,
                                      std::size_t max_count) {
    std::vector<host_id>& kept = m_planned[service];
    for (const host_id& host : current) {
        const auto found = m_hosts.find(host);
        if (found == m_hosts.end() || kept.size() >= max_count || serves(host, service)) {
            continue;
        }
        kept.push_back(host);
        ++found->second.services;
    }
}

void assignment_planner::fill(const service_id& service, std::size_t wanted) {
    const std::size_t goal = std::min(wanted, m_hosts.size());
    while (m_planned[service].size() < goal) {
        const host_id chosen = best_candidate(service);
        m_planned[service].push_back(chosen);
        ++m_hosts[chosen].services;
    }
}

void assignment_planner::rebalance() {
    while (rebalance_once()) {
    }
}

bool assignment_planner::serves(const host_id& host, const service_id& service) const {
    const std::vector<host_id>& hosts = m_planned.at(service);
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

std::size_t assignment_planner::hosts_in(const data_center_id& data_center, const service_id& service) const {
    std::size_t count = 0;
    for (const host_id& host : m_planned.at(service)) {
        if (m_hosts.at(host).data_center == data_center) {
            ++count;
        }
    }
    return count;
}

host_id assignment_planner::best_candidate(const service_id& service) const {
    using preference = std::tuple<std::size_t, std::size_t, std::uint64_t>;
    std::optional<preference> best;
    host_id chosen;
    for (const auto& [host, planned] : m_hosts) {
        if (serves(host, service)) {
            continue;
        }
        const preference offered{hosts_in(planned.data_center, service), planned.services,
                                 stable_hash(host.value(), stable_hash(service.value()))};
        if (!best || offered < *best) {
            best = offered;
            chosen = host;
        }
    }
    return chosen;
}

bool assignment_planner::rebalance_once() {
    if (m_hosts.empty()) {
        return false;
    }
    const auto by_services = [](const auto& left, const auto& right) {
        return left.second.services < right.second.services;
    };
    const auto [least_loaded, most_loaded] = std::minmax_element(m_hosts.begin(), m_hosts.end(), by_services);
    return most_loaded->second.services > least_loaded->second.services + 1 &&
           move_service(most_loaded->first, least_loaded->first);
}

bool assignment_planner::move_service(const host_id& most_loaded, const host_id& least_loaded) {
    const data_center_id& from = m_hosts[most_loaded].data_center;
    const data_center_id& to = m_hosts[least_loaded].data_center;
    for (auto& [service, hosts] : m_planned) {
        const auto position = std::find(hosts.begin(), hosts.end(), most_loaded);
        const bool stays_spread = from == to || hosts_in(to, service) < hosts_in(from, service);
        if (position == hosts.end() || serves(least_loaded, service) || !stays_spread) {
            continue;
        }
        *position = least_loaded;
        --m_hosts[most_loaded].services;
        ++m_hosts[least_loaded].services;
        return true;
    }
    return false;
}

} // namespace tamarack
