#pragma once

#include "control_client_actions.h"
#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/** Who a control client is, and whom it asks. */
struct control_client_options {
    host_id self;
    incarnation_id incarnation; ///< of this process
    endpoint address;           ///< where control hosts answer to
    data_center_id data_center;
    bool serves_callers = true;
    std::vector<host_id> control_hosts;
    lease_options leases;
    duration retry = 300ms;                      ///< without an answer, ask the next control host
    std::size_t max_unrecorded_results = 10'000; ///< while so many wait to be recorded, no claim is taken on
};

/**
 * A host's side of the control plane, apart from I/O: renews its lease, follows the configuration, has claims
 * and their results committed.
 *
 * @see control_node
 */
class control_client {
public:
    /**
     * @param options  who this is, and whom it asks
     * @param random   another seed in each incarnation of the process: answers are told apart by numbers
     * drawn here
     * @param now      time of the start
     */
    control_client(control_client_options options, random_source random, time_point now);
    ~control_client();
    control_client(control_client&&) noexcept;
    control_client& operator=(control_client&&) noexcept;
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    control_client_actions on_message(time_point now, const control_message& message);
    control_client_actions on_timer(time_point now);

    /** Has a claim committed; ends in claim_answered or claim_uncertain. */
    control_client_actions commit(time_point now, std::uint64_t request, const claim& wanted,
                                  time_point deadline);

    /** Has a result recorded, as often as it takes. */
    control_client_actions record(time_point now, const claim_result& ended);

    /** This host drains and is taken out of assignments, or is to be assigned services again. */
    control_client_actions set_draining(time_point now, bool draining);

    /**
     * This host learnt by another way that a ticket was accepted, as a control host does from its own log.
     *
     * It extends no lease. An older one than the host holds changes nothing.
     */
    control_client_actions adopt(time_point now, const configuration& accepted);

    /** The control hosts that are known changed. */
    void set_control_hosts(std::vector<host_id> hosts);

    /** Gives the lease back, at the end of a graceful shutdown. */
    control_client_actions release(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    const configuration& current() const;
    /** @return the assignment to apply, and the one that it takes the place of */
    const assignment& assigned() const;
    const assignment& assigned_before() const;
    /** @return whether every lease holder applies assigned() */
    bool assignment_settled() const;
    time_point lease_ends_at() const;
    /** @return whether requests may be served under current() now */
    bool may_serve(time_point now) const;
    /** @return the control host believed to be the leader, or empty */
    host_id leader() const;
    std::size_t unrecorded_results() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
