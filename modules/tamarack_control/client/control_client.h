#pragma once

#include "control_client_actions.h"
#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace tamarack {

/** Identity of a control client, and the control hosts that it asks. */
struct control_client_options {
    host_id self;
    incarnation_id incarnation; ///< of this process
    endpoint address;           ///< address to which control hosts send answers
    data_center_id data_center;
    bool serves_callers = true;
    std::vector<host_id> control_hosts;
    lease_options leases;
    duration retry = 300ms; ///< the next control host is asked after this time without an answer
    std::size_t max_unrecorded_results = 10'000; ///< no claim is accepted at this number
};

/**
 * A host's client of the control plane, without I/O: renews the lease, follows the configuration, and has
 * claims and their results committed.
 *
 * @see control_node
 */
class control_client {
public:
    /**
     * @param options  identity of the client, and the control hosts that it asks
     * @param random   must have a different seed in each incarnation of the process, since
     *                 answers are matched to requests by numbers drawn from it
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

    /** Requests that a claim be committed; claim_answered or claim_uncertain reports the end. */
    control_client_actions commit(time_point now, std::uint64_t request, const claim& wanted,
                                  time_point deadline);

    /** Requests that a result be recorded, and retransmits the request until it is. */
    control_client_actions record(time_point now, const claim_result& ended);

    /** Sets whether this host is draining. A draining host is removed from assignments. */
    control_client_actions set_draining(time_point now, bool draining);

    /**
     * Adopts an accepted configuration that did not come with a grant, such as one that a control host takes
     * from its own log.
     *
     * This doesn't extend the lease. A configuration older than the current one is ignored.
     */
    control_client_actions adopt(time_point now, shared_configuration accepted);

    /** Replaces the control hosts to ask. */
    void set_control_hosts(std::vector<host_id> hosts);

    /** Releases the lease, at the end of a graceful shutdown. */
    control_client_actions release(time_point now);

    /** Ends the lease and requests a new one: the clock has not measured some of the time that has passed. */
    control_client_actions restart_lease(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    const configuration& current() const;
    const shared_configuration& shared_current() const;
    /** @return the assignment to apply; assigned_before() returns the assignment that it replaces */
    const assignment& assigned() const;
    const assignment& assigned_before() const;
    /** @return whether every lease holder applies assigned() */
    bool assignment_settled() const;
    /** @return the latest evacuation orders that this host has received */
    const evacuation_orders& evacuations() const;
    /** @return whether the orders were current at some time since the start, by a grant of the leader */
    bool evacuations_known() const;
    time_point lease_ends_at() const;
    /** @return whether requests may be served under current() now */
    bool may_serve(time_point now) const;
    /** @return the control host presumed to be the leader, or empty */
    host_id leader() const;
    std::size_t unrecorded_results() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
