#pragma once

#include "answer_sender.h"

namespace tamarack {

/**
 * Runs non-idempotent requests in five steps: claim the key, probe a connection, send one exchange, record
 * the result, answer the caller.
 *
 * There are no hedges and no retries. The result is recorded before the caller is answered.
 */
class at_most_once_flow {
public:
    at_most_once_flow(engine_core& core, dispatcher& sender, answer_sender& answers)
        : m_core(core), m_dispatcher(sender), m_answer_sender(answers) {}

    /** Chooses the shard and the index version, and requests the claim. */
    void start(query_run& run);
    void on_claim_answer(query_run& run, const claim_answer& answer);
    void on_claim_failed(query_run& run);
    /** Called when the connection has answered its probe: sends the request on it. */
    void on_live(query_run& run, connection& proven);
    /** Called when the connection was lost, or is not used, before any byte of the request was sent on it. */
    void on_probe_lost(query_run& run);
    void on_reply(query_run& run, exchange_reply reply);
    /** Called when the connection was lost while the request may have been running. */
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
