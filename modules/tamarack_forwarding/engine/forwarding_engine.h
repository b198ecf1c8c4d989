#pragma once

#include "forwarding_actions.h"
#include "forwarding_options.h"
#include "forwarding_statistics.h"

#include "../payload/forward_request.h"
#include "../view/forwarding_view.h"

#include <memory>

namespace tamarack {

/**
 * Passes callers' requests on to targets on one host, unread, apart from I/O.
 *
 * Use it for requests that a route table describes; requests over an index with versions are query_engine's.
 * Feed it events with the time; carry out the returned actions in order. Each request ends in exactly one
 * deliver_answer.
 *
 * Watch out: the shell reports what happens to a connection by its number, and nothing of one that the engine
 * closed.
 *
 * @see forwarding_actions.h, forwarding_options
 */
class forwarding_engine {
public:
    /**
     * @param options  times, bounds and protections
     * @param random   chooses between targets and spreads returning callers
     */
    forwarding_engine(forwarding_options options, random_source random);
    ~forwarding_engine();
    forwarding_engine(forwarding_engine&&) noexcept;
    forwarding_engine& operator=(forwarding_engine&&) noexcept;
    forwarding_engine(const forwarding_engine&) = delete;
    forwarding_engine& operator=(const forwarding_engine&) = delete;

    /** The routes, the usable targets or the hosts changed. */
    forwarding_actions on_view(time_point now, forwarding_view_pointer view);
    /** This host is in touch with the control hosts until then: only so long it spends its allowance. */
    void on_lease(time_point now, time_point ends_at);
    /** A caller's request arrived. */
    forwarding_actions on_request(time_point now, forward_request request);
    /** Another host found that a target was lost to a content. */
    void on_remote_crash_loss(time_point now, const crash_loss& loss);
    /** A caller closed its connection before its answer. */
    forwarding_actions on_caller_gone(time_point now, forward_number request);
    forwarding_actions on_connected(time_point now, target_connection connection);
    /** A connection could not be opened, was closed by the target, or broke. */
    forwarding_actions on_connection_lost(time_point now, target_connection connection);
    forwarding_actions on_reply(time_point now, target_connection connection, target_reply reply);
    /** The time of next_timer has come; calling it earlier or more often does no harm. */
    forwarding_actions on_timer(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;
    /** @return requests that have no answer yet */
    std::size_t unanswered() const;
    forwarding_statistics statistics() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
