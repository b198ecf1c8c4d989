#include "assignment_planner.h"

namespace tamarack {

namespace {

std::vector<candidate_host> candidates_of(time_point now, const lease_manager& leases) {
    std::vector<candidate_host> result;
    for (const auto& [host, contact] : leases.contacts()) {
        if (contact.serves_callers && leases.table().may_hold(now, host, contact.incarnation)) {
            result.push_back({host, contact.data_center, contact.draining});
        }
    }
    return result;
}

/**
 * Removes operators' orders for hosts. An order to drain affects the assignment only once its host reports
 * that it is draining: for some time, callers still use directory answers that name the host, and until then
 * the host needs its share.
 */
configuration without_orders(configuration current) {
    current.hosts.clear();
    return current;
}

} // namespace

std::optional<assignment> next_assignment(time_point now, const control_state& state,
                                          const lease_manager& leases) {
    const assignment& assigned = state.assigned();
    const bool holders_known = now >= leases.table().predecessors_end();
    if (!holders_known || !leases.table().epoch_state(now, assigned.epoch).in_force) {
        return std::nullopt;
    }
    auto planned =
        plan_assignment(assigned, without_orders(state.tickets().current()), candidates_of(now, leases));
    if (planned) {
        planned->epoch = assigned.epoch + 1;
    }
    return planned;
}

} // namespace tamarack
