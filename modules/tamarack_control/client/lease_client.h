#pragma once

#include "control_client.h"
#include "control_client_actions.h"
#include "control_route.h"

#include <cstdint>

namespace tamarack {

/**
 * A host's copy of the configuration and the assignment, and the lease that allows it to serve under them.
 * Internal to the module.
 */
class lease_client {
public:
    lease_client(const control_client_options& options, std::uint64_t first_renewal, time_point now);

    void on_granted(time_point now, const lease_granted& message, control_route& route,
                    control_client_actions& actions);
    void on_redirect(time_point now, const leader_redirect& message);
    void on_update_announced(time_point now, const announce_update& message);
    void on_timer(time_point now, control_route& route, control_client_actions& actions);
    void adopt(time_point now, shared_configuration accepted, control_client_actions& actions);
    void set_draining(time_point now, bool draining);
    void release(time_point now, const control_route& route, control_client_actions& actions);
    void restart(time_point now, control_client_actions& actions);
    time_point next_timer() const;

    const shared_configuration& current() const { return m_current; }
    const assignment& assigned() const { return m_assigned; }
    const assignment& assigned_before() const { return m_previous_assignment; }
    const evacuation_orders& evacuations() const { return m_evacuations; }
    bool evacuations_known() const { return m_evacuations_known; }
    bool assignment_settled() const { return m_lease.settled_epoch() >= m_assigned.epoch; }
    time_point lease_ends_at() const { return m_lease.ends_at(); }
    bool may_serve(time_point now) const { return m_lease.may_serve(now); }

private:
    bool apply_update(const lease_granted& message);
    bool apply_evacuations(const lease_granted& message);
    void apply_assignment(const assignment& next);
    void report_expiry(time_point now, control_client_actions& actions);
    void renew_when_due(time_point now, const control_route& route, control_client_actions& actions);

    control_client_options m_options;
    lease_holder m_lease;
    shared_configuration m_current = std::make_shared<const configuration>();
    assignment m_assigned;
    assignment m_previous_assignment;
    evacuation_orders m_evacuations;
    bool m_evacuations_known = false;        ///< a grant to this process has been received
    std::uint64_t m_outstanding_renewal = 0; ///< number of the latest renewal if unanswered, else 0
    time_point m_renewal_sent_at{};
    time_point m_renewal_retry_at = time_point::max();
    bool m_lease_was_valid = false; ///< whether the lease was valid at the last check
    bool m_draining = false;
    bool m_released = false;
};

} // namespace tamarack
