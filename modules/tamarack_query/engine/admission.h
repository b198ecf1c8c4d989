#pragma once

#include "at_most_once_flow.h"
#include "fan_out.h"

namespace tamarack {

/** Starts, queues or refuses requests, so that started requests can finish before their deadlines. */
class admission {
public:
    admission(engine_core& core, answer_sender& answers, fan_out& queries, at_most_once_flow& at_most_once)
        : m_core(core), m_answer_sender(answers), m_fan_out(queries), m_at_most_once_flow(at_most_once) {}

    /** Called when a request has arrived and is in the list of runs. */
    void on_arrival(query_run& run);
    /** Starts queued requests of services that have capacity again. */
    void start_queued();
    /** Called when the deadline of a queued request has passed. */
    void on_queued_deadline(query_run& run);
    /** Removes a request from its service's queue. */
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
