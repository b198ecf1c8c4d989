#pragma once

#include "control_node.h"
#include "lease_manager.h"
#include "pending_proposals.h"

#include <deque>
#include <map>
#include <optional>

namespace tamarack {

/**
 * State of a control_node. Internal to the module.
 *
 * Its functions are defined in three files: events of the log (control_node_log.cpp), requests of hosts and
 * operators (control_node_requests.cpp), and the public functions with the timer (control_node.cpp).
 */
struct control_node::implementation {
    implementation(member_id self, recovered_log recovered, control_options options, random_source random,
                   time_point now);

    // Events of the log.
    void carry_out(time_point now, raft_actions actions);
    void carry_out_one(time_point now, raft_action& action);
    void on_apply(time_point now, const apply_entries& action);
    void apply_command(const log_entry& entry);
    void on_restore(const restore_snapshot& action);
    void on_read_confirmed(time_point now, const read_confirmed& action);
    void on_read_refused(const read_refused& action);
    void on_role_changed(time_point now, const role_changed& action);
    void offer_snapshot(time_point now);
    void settle(const settled_proposal& settled, const control_effect& effect);

    // Requests of hosts and operators.
    void on_request(time_point now, wall_time wall, const renew_lease& message);
    void on_request(time_point now, wall_time wall, const release_lease& message);
    void on_request(time_point now, wall_time wall, const request_claim& message);
    void on_request(time_point now, wall_time wall, const report_result& message);
    template <typename Other>
    void on_request(time_point, wall_time, const Other&) {}
    void propose(time_point now, wall_time wall, control_change change, proposal_waiter waiter);
    void end_claim_of_lost_host(time_point now, wall_time wall, const claim& wanted);
    void refuse(const proposal_waiter& waiter, const error& reason);
    void refuse_renewals(const std::vector<renew_lease>& renewals);
    void grant(time_point now, const renew_lease& renewal);
    void redirect(const renew_lease& renewal);
    void redirect(const host_id& to, const endpoint& address, std::uint64_t operation);
    void send(const host_id& to, const endpoint& address, control_message message);

    // Work that the leader begins by itself.
    void start_due_read(time_point now);
    void plan_when_due(time_point now, wall_time wall);
    void update_settled_epoch(time_point now);
    void announce();
    void end_operator_read(std::uint64_t read, const outcome<done>& answer);

    bool is_leader() const { return m_lease_manager.has_value(); }
    host_id leader_host() const;
    control_changed summary() const;
    /** Ends the handling of an event: reports what changed and returns the collected actions. */
    control_actions finish();

    control_options m_options;
    raft_node m_raft;
    control_state m_state;
    std::optional<lease_manager> m_lease_manager; ///< only while this member leads
    log_term m_leading_term = 0;                  ///< term of the lease manager
    bool m_state_confirmed = false;               ///< a read was confirmed in this term
    pending_proposals m_proposals;
    std::uint64_t m_next_read = 1;
    std::map<std::uint64_t, std::uint64_t> m_operator_reads; ///< operation of each operator's read
    std::uint64_t m_settled_epoch = 0;
    time_point m_next_plan{};
    log_index m_applied = 0;
    std::uint64_t m_applied_since_snapshot = 0;
    std::deque<raft_action> m_queue;
    bool m_carrying_out = false; ///< carry_out runs, and also takes actions that are queued meanwhile
    control_changed m_last_summary;
    control_actions m_actions;
};

} // namespace tamarack
