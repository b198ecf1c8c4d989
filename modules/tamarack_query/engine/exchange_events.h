#pragma once

#include "at_most_once_flow.h"
#include "fan_out.h"

namespace tamarack {

/** Translates connection events into the outcomes of exchanges. */
class exchange_events {
public:
    exchange_events(engine_core& core, dispatcher& sender, fan_out& queries, at_most_once_flow& at_most_once)
        : m_core(core), m_dispatcher(sender), m_fan_out(queries), m_at_most_once_flow(at_most_once) {}

    void on_connected(connection_number number);
    void on_live(connection_number number);
    void on_lost(connection_number number);
    /** Called when another host suspects a request of having crashed a target. */
    void on_crash_suspicion(const broadcast_crash_suspicion& suspicion);
    void on_reply(connection_number number, exchange_reply reply);
    /** Called when the time to wait for the reply to a cancelled exchange has passed. */
    void on_connection_timer(connection_number number);

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;
    fan_out& m_fan_out;
    at_most_once_flow& m_at_most_once_flow;

    bool is_matching_reply(const connection& used, const exchange_reply& reply) const;
    void on_matching_reply(connection& used, exchange_reply reply);
    void on_mismatched_reply(connection& used);
    void record_reply(replica& target, const carried_exchange& carried, const exchange_reply& reply);
    void end_attempt(const carried_exchange& carried, std::uint64_t replica, exchange_reply reply);
    void on_idempotent_end(query_run& run, const carried_exchange& carried, std::uint64_t replica,
                           exchange_reply reply);
    void on_silent(connection& silent);
    /** Probes idle connections to the service's targets on which nothing has been received since `since`. */
    void probe_stale_connections(const replica& target, time_point since);
    void close_as_lingering(connection& closed);
    /** Still counts a connection that this host has closed, as the target may not have noticed yet. */
    void count_lingering(replica& target);
    void on_probe_failed(const connection& gone);
    void on_broken(const connection& gone);
    void record_loss(const connection& gone, query_run* run);
    void mark_leaving(replica& target);
    static bool remove_attempt(query_run& run, const carried_exchange& carried);
};

} // namespace tamarack
