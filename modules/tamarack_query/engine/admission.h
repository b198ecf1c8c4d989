#pragma once

#include "at_most_once_flow.h"
#include "fan_out.h"

namespace tamarack {

/** Starts, queues or refuses requests, so that those started are done in time. */
class admission {
public:
    admission(engine_core& core, answer_sender& answers, fan_out& queries, at_most_once_flow& at_most_once)
        : m_core(core), m_answer_sender(answers), m_fan_out(queries), m_at_most_once_flow(at_most_once) {}

    /** A request arrived; it is registered already. */
    void on_arrival(query_run& run);
    /** Starts queued requests of services that have room again. */
    void start_queued();
    /** A queued request's deadline came. */
    void on_queued_deadline(query_run& run);
    /** Takes a request out of its service's queue. */
    static void remove_from_queue(query_run& run);

private:
    engine_core& m_core;
    answer_sender& m_answer_sender;
    fan_out& m_fan_out;
    at_most_once_flow& m_at_most_once_flow;

    refusal_reason reason_to_refuse(const query_run& run);
    bool is_quarantined(const query_run& run) const;
    void start(query_run& run);
    void start_queued(service_state& service);
    void queue_or_refuse(query_run& run);
    bool should_drop(service_state& service, const query_run& run);
    request_number take_next(service_state& service) const;
};

} // namespace tamarack
