#pragma once

#include "answer_sender.h"

namespace tamarack {

/**
 * Runs idempotent requests: one part per shard of one index version, hedged and retried within the extra load
 * budget.
 *
 * If no target has completed the content before, only a few shards, called canaries, are queried first.
 */
class fan_out {
public:
    fan_out(engine_core& core, dispatcher& sender, answer_sender& answers)
        : m_core(core), m_dispatcher(sender), m_answer_sender(answers) {}

    /** Chooses the index version and sends the exchanges. */
    void start(query_run& run);
    /** Called when a shard's part has arrived. */
    void on_part(query_run& run, std::size_t shard_index, exchange_reply reply);
    /** Called when an attempt has ended without a part. */
    void on_failed(query_run& run, std::size_t shard_index, missing_reason reason);
    /** Called when a replica has replied that it no longer holds the index version. */
    void on_version_gone(query_run& run, std::size_t shard_index);
    /** Called when another request with this content was completed or failed, or the content is suspected. */
    void on_content_changed(query_run& run);
    /** Called by the request's timer: checks its deadline, objective and hedges. */
    void on_wake(query_run& run);

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;
    answer_sender& m_answer_sender;

    void send_first_parts(query_run& run);
    void send_held_back(query_run& run, std::size_t at_most);
    /** Sends a second canary if that is possible at once, at a target that runs no other unproven content. */
    void send_second_canary(query_run& run, std::size_t shard_index);
    void retry(query_run& run, std::size_t shard_index, missing_reason reason);
    bool expose_if_allowed(query_run& run);
    void mark_content_proven(query_run& run);
    void continue_held_back(query_run& run);
    /** For services that prefer coverage: a failed part waits until the budget allows another attempt. */
    void wait_for_budget(query_run& run, shard_run& part, missing_reason reason);
    bool has_untried_replica(const query_run& run, const shard_run& part) const;
    void mark_missing(query_run& run, std::size_t shard_index, missing_reason reason);
    void advance(query_run& run);
    bool has_sufficient_coverage(const query_run& run) const;
    void hedge_due(query_run& run);
    void hedge(query_run& run, std::size_t shard_index);
    bool move_to_other_version(query_run& run);
    void restart(query_run& run, const version_candidate& chosen);
};

} // namespace tamarack
