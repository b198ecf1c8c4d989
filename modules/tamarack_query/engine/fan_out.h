#pragma once

#include "answer_sender.h"

namespace tamarack {

/** Runs idempotent requests: every shard's part from one index version, hedged and retried within the budget.
 */
class fan_out {
public:
    fan_out(engine_core& core, dispatcher& sender, answer_sender& answers)
        : m_core(core), m_dispatcher(sender), m_answer_sender(answers) {}

    /** Chooses the index version and sends the parts. */
    void start(query_run& run);
    /** A part arrived. */
    void on_part(query_run& run, std::size_t shard_index, exchange_reply reply);
    /** An attempt ended without a part. */
    void on_failed(query_run& run, std::size_t shard_index, missing_reason reason);
    /** No replica of the shard has the version any more, or this one has not. */
    void on_version_gone(query_run& run, std::size_t shard_index);
    /** The same content was completed, failed to be, or is suspected. */
    void on_content_changed(query_run& run);
    /** The request's time to look at deadlines and hedges. */
    void on_wake(query_run& run);

private:
    engine_core& m_core;
    dispatcher& m_dispatcher;
    answer_sender& m_answer_sender;

    void send_first_parts(query_run& run);
    void send_held_back(query_run& run, std::size_t at_most);
    /** Sent only at once, and only where no other content is unproven. */
    void send_second_canary(query_run& run, std::size_t shard_index);
    void retry(query_run& run, std::size_t shard_index, missing_reason reason);
    bool may_expose(query_run& run);
    void mark_content_proven(query_run& run);
    void continue_held_back(query_run& run);
    /** Where whole answers go first, a failed part waits until the budget allows another attempt. */
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
