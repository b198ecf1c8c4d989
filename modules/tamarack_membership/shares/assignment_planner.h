#pragma once

#include "assignment.h"

#include <cstddef>
#include <map>
#include <vector>

namespace tamarack {

/**
 * One run of the planner: tracks the number of services of each host and data centre while hosts are
 * chosen.
 *
 * @see plan_assignment, its only user
 */
class assignment_planner {
public:
    explicit assignment_planner(const std::vector<candidate_host>& candidates);

    /** Keeps the current hosts that are still available, up to `max_count` for each service. */
    void keep_current(const service_id& service, const std::vector<host_id>& current, std::size_t max_count);

    /** Adds hosts to a service until it has `wanted` hosts. */
    void fill(const service_id& service, std::size_t wanted);

    /**
     * Moves services from the most loaded hosts to the least loaded ones while the difference is more than
     * one.
     */
    void rebalance();

    std::size_t hosts() const { return m_hosts.size(); }
    const service_hosts& planned() const { return m_planned; }

private:
    struct planned_host {
        data_center_id data_center;
        std::size_t services = 0;
    };

    bool serves(const host_id& host, const service_id& service) const;
    std::size_t hosts_in(const data_center_id& data_center, const service_id& service) const;
    host_id best_candidate(const service_id& service) const;
    bool rebalance_once();
    bool move_service(const host_id& most_loaded, const host_id& least_loaded);

    std::map<host_id, planned_host> m_hosts;
    service_hosts m_planned;
};

} // namespace tamarack
