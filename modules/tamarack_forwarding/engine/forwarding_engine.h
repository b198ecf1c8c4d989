#pragma once

#include "forwarding_actions.h"
#include "forwarding_options.h"
#include "forwarding_statistics.h"

#include "../payload/forward_request.h"
#include "../view/forwarding_view.h"

#include <memory>
#include <string>

namespace tamarack {

/**
 * Forwards callers' requests to targets on one host without interpreting them, and without doing I/O itself.
 *
 * Use it for requests that a route table describes; requests to an index that has versions are handled
 * by query_engine. Pass in events with the current time, and carry out the returned actions in order. Each
 * request ends with exactly one deliver_answer.
 *
 * Events of a connection are reported by its number; no events may be reported for a connection that the
 * engine has closed.
 *
 * @see forwarding_actions.h, forwarding_options
 */
class forwarding_engine {
public:
    /**
     * @param options  times, bounds and protections
     * @param random   for the choice between targets and the jitter of retry delays
     */
    forwarding_engine(forwarding_options options, random_source random);
    ~forwarding_engine();
    forwarding_engine(forwarding_engine&&) noexcept;
    forwarding_engine& operator=(forwarding_engine&&) noexcept;
    forwarding_engine(const forwarding_engine&) = delete;
    forwarding_engine& operator=(const forwarding_engine&) = delete;

    /** The routes, the usable targets or the hosts changed. */
    forwarding_actions on_view(time_point now, forwarding_view_pointer view);
    /**
     * Sets the end of this host's lease from the control hosts. Until then, the allowance may be spent and
     * requests with keys may be sent.
     *
     * @param ends_at  on a clock that includes the time for which the machine was suspended
     */
    void on_lease(time_point now, time_point ends_at);
    /** Sets the total time for which the machine was suspended, which `now` doesn't include. To be called
     * before each event if requests with keys need a lease. */
    void on_suspended(duration total);
    /** A caller's request arrived. */
    forwarding_actions on_request(time_point now, forward_request request);
    /** Another host reported that a target was lost to a content. */
    void on_remote_crash_loss(time_point now, const crash_loss& loss);
    /** Another host reported what a target states about its request limit. */
    forwarding_actions on_remote_request_limit(time_point now, const target_incarnation& target,
                                               const limit_statement& statement);
    /** The server of team limits answered a report, or announced a change. */
    forwarding_actions on_team_grant(time_point now, const team_grant& grant);
    /** A caller closed its connection before it was answered. */
    forwarding_actions on_caller_gone(time_point now, forward_number request);
    forwarding_actions on_connected(time_point now, target_connection connection);
    /**
     * A connection could not be opened, was closed by the target, or broke.
     *
     * @param cause   for the log
     * @param unsent  it is certain that no byte of the connection's exchange was sent
     */
    forwarding_actions on_connection_lost(time_point now, target_connection connection,
                                          std::string cause = {}, bool unsent = false);
    forwarding_actions on_reply(time_point now, target_connection connection, target_reply reply);
    /** To be called when next_timer is due; earlier or additional calls are harmless. */
    forwarding_actions on_timer(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;
    /** @return number of requests without an answer */
    std::size_t unanswered() const;
    forwarding_statistics statistics() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
