#pragma once

#include "../view/serving_view.h"
#include "query_actions.h"
#include "query_options.h"
#include "query_statistics.h"

#include <cstdint>
#include <memory>

namespace tamarack {

/**
 * Runs callers' requests on one host, without doing any I/O itself.
 *
 * The I/O layer passes events with the current time to the engine and carries out the returned actions in
 * order. Each request ends with exactly one answer_caller, by its deadline at the latest.
 *
 * Connections are identified by their numbers. The I/O layer must not report events of a connection that the
 * engine has closed.
 *
 * @see query_actions.h, query_options
 */
class query_engine {
public:
    /**
     * @param self         this host, recorded in claims
     * @param incarnation  this process's incarnation, recorded in claims
     * @param options      times, limits and protections
     * @param random       source of random numbers, for instance for the choice of replicas
     */
    query_engine(host_id self, incarnation_id incarnation, query_options options, random_source random);
    ~query_engine();
    query_engine(query_engine&&) noexcept;
    query_engine& operator=(query_engine&&) noexcept;
    query_engine(const query_engine&) = delete;
    query_engine& operator=(const query_engine&) = delete;

    /** The configuration, the usable replicas or this host's shares have changed. */
    query_actions on_view(time_point now, serving_view_pointer view);

    /** This host may serve until `ends_at`; a time in the past means that it may not serve. */
    query_actions on_lease(time_point now, time_point ends_at);

    /** This host drains: new requests are refused, running ones are finished. */
    query_actions on_draining(time_point now);

    /** A caller's request has arrived. */
    query_actions on_request(time_point now, caller_request request);

    /** A caller has closed its connection; a started non-idempotent request still runs to its end. */
    query_actions on_caller_gone(time_point now, request_number request);

    query_actions on_connected(time_point now, connection_number connection);
    query_actions on_connection_live(time_point now, connection_number connection);
    /** A connection could not be opened, was closed by the other side, or broke. */
    query_actions on_connection_lost(time_point now, connection_number connection);
    query_actions on_reply(time_point now, connection_number connection, exchange_reply reply);

    query_actions on_claim_answer(time_point now, request_number request, const claim_answer& answer);
    /** It is unknown whether the claim was committed; no byte of the request was sent. */
    query_actions on_claim_failed(time_point now, request_number request);

    /** Another host suspects a request of having crashed a target. */
    query_actions on_crash_suspicion(time_point now, const broadcast_crash_suspicion& suspicion);

    /** Another host has quarantined a request because it crashes targets. */
    query_actions on_quarantine(time_point now, const digest& request);

    /** The time returned by next_timer has come. Calling it earlier or more often is harmless. */
    query_actions on_timer(time_point now);

    /** @return when on_timer has to be called next */
    time_point next_timer() const;

    /** @return the number of requests not answered yet */
    std::size_t unanswered() const;

    /** @return counts summed over all services */
    query_statistics statistics() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
