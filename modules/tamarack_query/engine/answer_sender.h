#pragma once

#include "dispatcher.h"

namespace tamarack {

/** Sends exactly one answer to each request. */
class answer_sender {
public:
    answer_sender(engine_core& core, dispatcher& sender) : m_core(core), m_dispatcher(sender) {}

    /** Answers with the parts merged so far, or refuses the request if their coverage is too low. */
    void finish(query_run& run, refusal_reason reason);
    /** Answers without parts and abandons the running attempts. */
    void refuse(query_run& run, request_outcome outcome, refusal_reason reason);
    /** Answers, abandons the running attempts and removes the request at the end of the event. */
    void send(query_run& run, query_answer answer);
    /** Answers, but keeps the request and its running attempt, whose result still has to be recorded. */
    void send_and_keep_running(query_run& run, query_answer answer);
    /** Abandons the running attempts of a request. */
    void abandon_attempts(query_run& run);
    /** Removes an answered request. */
    void remove(query_run& run);

    /** @return `not_run` if no target can have run any part of the request, else `unknown` */
    static request_outcome outcome_without_answer(const query_run& run);
    /** @return how long a caller should wait before it retries at this service */
    duration retry_after(const service_state* service) const;

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;

    void send_to_caller(query_run& run, query_answer answer);
    void observe_latency(const query_run& run) const;
};

/** @return the expected time until a request starts that is at position `queued` of the service's queue */
duration expected_wait(const service_state& service, std::size_t queued);

} // namespace tamarack
