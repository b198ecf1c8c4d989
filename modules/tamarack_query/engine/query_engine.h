#pragma once

#include "../view/serving_view.h"
#include "query_actions.h"
#include "query_options.h"
#include "query_statistics.h"

#include <cstdint>
#include <memory>

namespace tamarack {

/**
 * Runs callers' requests on one host, apart from I/O.
 *
 * Feed it events with the time; carry out the returned actions in order. Each request ends in exactly one
 * answer_caller, by its deadline at the latest.
 *
 * Watch out: the shell reports what happens to a connection by the connection's number, and nothing of one
 * that the engine closed.
 *
 * @see query_actions.h, query_options
 */
class query_engine {
public:
    /**
     * @param self     this host, named in claims
     * @param incarnation     this process's incarnation, named in claims
     * @param options  times, bounds and protections
     * @param random   chooses between replicas
     */
    query_engine(host_id self, incarnation_id incarnation, query_options options, random_source random);
    ~query_engine();
    query_engine(query_engine&&) noexcept;
    query_engine& operator=(query_engine&&) noexcept;
    query_engine(const query_engine&) = delete;
    query_engine& operator=(const query_engine&) = delete;

    /** The configuration, the usable replicas or this host's shares changed. */
    query_actions on_view(time_point now, serving_view_pointer view);

    /** Until when this host may serve; a moment in the past means that it may not. */
    query_actions on_lease(time_point now, time_point ends_at);

    /** This host drains: nothing new is accepted any more, what runs is finished. */
    query_actions on_draining(time_point now);

    /** A caller's request arrived. */
    query_actions on_request(time_point now, caller_request request);

    /** A caller closed its connection; a non-idempotent request still runs to its end. */
    query_actions on_caller_gone(time_point now, request_number request);

    query_actions on_connected(time_point now, connection_number connection);
    query_actions on_connection_live(time_point now, connection_number connection);
    /** A connection could not be opened, was closed by the other side, or broke. */
    query_actions on_connection_lost(time_point now, connection_number connection);
    query_actions on_reply(time_point now, connection_number connection, exchange_reply reply);

    query_actions on_claim_answer(time_point now, request_number request, const claim_answer& answer);
    /** Whether the claim was committed is not known; no byte was sent. */
    query_actions on_claim_failed(time_point now, request_number request);

    /** Another host may have lost a target to a request. */
    query_actions on_crash_suspicion(time_point now, const broadcast_crash_suspicion& suspicion);

    /** Another host found a request that crashes targets. */
    query_actions on_quarantine(time_point now, const digest& request);

    /** The time of next_timer has come; calling it earlier or more often does no harm. */
    query_actions on_timer(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    /** @return requests that have no answer yet */
    std::size_t unanswered() const;

    /** @return counts over all services */
    query_statistics statistics() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
