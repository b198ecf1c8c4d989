#pragma once

#include "dispatcher.h"

namespace tamarack {

/** Gives each request its one answer. */
class answer_sender {
public:
    answer_sender(engine_core& core, dispatcher& sender) : m_core(core), m_dispatcher(sender) {}

    /** Answers with the parts that were merged, or refuses where they are too few. */
    void finish(query_run& run, refusal_reason reason);
    /** Answers without parts; what it has running is abandoned. */
    void refuse(query_run& run, request_outcome outcome, refusal_reason reason);
    /** Answers; the request is forgotten at the end of the event. */
    void send(query_run& run, query_answer answer);
    /** Answers, but keeps what runs: its end is still recorded. */
    void send_and_keep_running(query_run& run, query_answer answer);
    /** Abandons what an answered request still has running. */
    void abandon_attempts(query_run& run);
    /** Forgets an answered request. */
    void remove(query_run& run);

    /** @return `not_run` when no target can have run any of it, else `unknown` */
    static request_outcome outcome_without_answer(const query_run& run);
    /** @return how long a caller should wait before it asks this service again */
    duration retry_after(const service_state* service) const;

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;

    void send_to_caller(query_run& run, query_answer answer);
    void observe_latency(const query_run& run) const;
};

/** @return how long a request that is queued behind `queued` others waits to start */
duration expected_wait(const service_state& service, std::size_t queued);

} // namespace tamarack
