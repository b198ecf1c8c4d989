#pragma once

#include "part_dispatcher.h"

#include <optional>

namespace tamarack {

/** Creates and delivers the final answers to requests. Internal to the module. */
class request_answers {
public:
    request_answers(forwarding_core& core, part_dispatcher& dispatcher)
        : m_core(core), m_dispatcher(dispatcher) {}

    /** Answers a request without a forwarding_run. @param retry_after  zero if a retry is pointless */
    void refuse_unrouted(forward_request request, forward_outcome outcome, forward_reason reason,
                         duration retry_after);
    /** Refuses a request whose content has crashed three targets, and says how long it stays refused. */
    void refuse_crashing(forwarding_run& run);
    /** Answers with the merged parts that have been received. */
    void merged(forwarding_run& run);
    /** Answers with a target's reply. */
    void reply(forwarding_run& run, target_reply reply);
    /** Answers without a reply: `not_run` with a retry delay if no target can have run it, else `unknown`. */
    void failed(forwarding_run& run, forward_reason reason);
    /**
     * @param capacity_in  time until capacity is expected to be free
     * @return the delay to send to the caller of a request that is refused for lack of capacity
     */
    duration retry_delay(const forwarding_run& run, duration capacity_in);
    /** Ends a request with this answer and abandons its exchanges. */
    void finish(forwarding_run& run, forward_answer answer);

    /** @return time until enough services have an available target; std::nullopt if too few have a target */
    std::optional<duration> until_coverable(const forwarding_run& run) const;

private:
    forwarding_core& m_core;
    part_dispatcher& m_dispatcher;
};

} // namespace tamarack
