#pragma once

#include "../state/control_state.h"
#include "control_actions.h"
#include "control_options.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** State of a control host, for operators. */
struct control_report {
    raft_role role = raft_role::follower;
    log_term term = 0;
    host_id leader;
    log_members members;
    log_index committed = 0;
    log_position last;
    bool may_vote = false;
    ticket_number latest;
    std::uint64_t epoch = 0;
    std::uint64_t settled_epoch = 0;
    std::vector<lease_record> holders; ///< only at the leader
};

/**
 * One control host, without I/O: a member of the replicated log, the state machine that applies the log, and
 * the leases that the host grants while it leads.
 *
 * Pass events with the current time, and carry out the returned actions in order.
 *
 * @see control_actions.h, control_client
 */
class control_node {
public:
    /**
     * @param self       this member
     * @param recovered  state recovered from its data folder
     * @param options    times and limits
     * @param random     randomises election timeouts
     * @param now        time of the start
     */
    control_node(member_id self, recovered_log recovered, control_options options, random_source random,
                 time_point now);
    ~control_node();
    control_node(control_node&&) noexcept;
    control_node& operator=(control_node&&) noexcept;
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /** @return actions due right after construction */
    control_actions start(time_point now);

    /** Forms the first history of the log, on an operator's command. @see raft_node::bootstrap */
    outcome<control_actions> bootstrap(time_point now, std::vector<member_id> voters);

    /** Adds, removes or replaces a control host. @see raft_node::change_voters */
    outcome<control_actions> change_voters(time_point now, std::vector<member_id> wanted);

    control_actions on_raft_message(time_point now, const raft_envelope& envelope);
    control_actions on_control_message(time_point now, wall_time wall, const control_message& message);
    control_actions on_persisted(time_point now, std::uint64_t number);
    control_actions on_persist_failed(time_point now);
    control_actions on_timer(time_point now, wall_time wall);

    /**
     * An operator submits a ticket.
     *
     * @param operation  returned in answer_ticket; the error not_leader names the leader if it is known
     */
    control_actions submit_ticket(time_point now, wall_time wall, std::uint64_t operation, ticket candidate);

    /**
     * An operator orders the evacuation of a data centre, or withdraws an order. Acknowledged once committed
     * by a majority; a repeated order is acknowledged again and changes nothing.
     *
     * @param operation  returned in answer_order; the error is not_leader on a host that doesn't lead, and
     *                   invalid_argument if too many data centres are evacuated
     */
    control_actions submit_order(time_point now, wall_time wall, std::uint64_t operation,
                                 const evacuation_order& order);

    /**
     * An operator reads the latest accepted ticket; a majority confirms first that no later one was accepted.
     *
     * @param operation  returned in answer_read; the error is not_leader on a host that doesn't lead
     */
    control_actions read_latest(time_point now, std::uint64_t operation);

    /** Transfers leadership, before a graceful shutdown. */
    control_actions transfer_leadership(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    /** @return whether a ticket is in force everywhere; nothing if this host is not the leader */
    std::optional<rollout_status> ticket_rollout(time_point now, ticket_number number) const;

    const control_state& state() const;
    control_report report(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
