#pragma once

#include "answer_sender.h"

namespace tamarack {

/**
 * Runs non-idempotent requests: claim, connection proven live, one exchange, result recorded, answer.
 *
 * There is no hedge and no retry. The result is recorded before the caller is answered.
 */
class at_most_once_flow {
public:
    at_most_once_flow(engine_core& core, dispatcher& sender, answer_sender& answers)
        : m_core(core), m_dispatcher(sender), m_answer_sender(answers) {}

    /** Chooses shard and version, and asks for the claim. */
    void start(query_run& run);
    void on_claim_answer(query_run& run, const claim_answer& answer);
    void on_claim_failed(query_run& run);
    /** The connection was proven live: the request is sent on it. */
    void on_live(query_run& run, connection& proven);
    /** The connection broke before a byte of the request was sent on it. */
    void on_probe_lost(query_run& run);
    void on_reply(query_run& run, exchange_reply reply);
    /** The connection broke, or what came on it can't be read, while the request may have been running. */
    void on_lost(query_run& run);
    void on_wake(query_run& run);

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;
    answer_sender& m_answer_sender;

    bool choose_shard(query_run& run);
    void send_claimed(query_run& run);
    void on_verdict(query_run& run, const claim_answer& answer);
    void answer_finished(query_run& run, const claim_answer& answer);
    void end(query_run& run, run_result result, const std::string& reply, refusal_reason reason);
    void record(const query_run& run, run_result result, const std::string& reply);
    void end_unanswered(query_run& run);
};

} // namespace tamarack
