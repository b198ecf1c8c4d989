#pragma once

#include "part_dispatcher.h"

#include <optional>

namespace tamarack {

/** Gives requests their one answer. Internal to the module. */
class request_answers {
public:
    request_answers(forwarding_core& core, part_dispatcher& dispatcher)
        : m_core(core), m_dispatcher(dispatcher) {}

    /** Answers a request that no run was made for. @param retry_after  zero when it need not come back */
    void refuse_unrouted(forward_request request, forward_outcome outcome, forward_reason reason,
                         duration retry_after);
    /** Refuses a request whose content has crashed three targets, with the time until it may be tried again.
     */
    void refuse_crashing(forwarding_run& run);
    /** Answers with the parts that are in. */
    void merged(forwarding_run& run);
    /** Answers with a target's reply. */
    void reply(forwarding_run& run, target_reply reply);
    /** Answers without one: as not run, with when to come back, where that is true. */
    void failed(forwarding_run& run, forward_reason reason);
    /** Ends a request; its exchanges are no longer wanted. */
    void finish(forwarding_run& run, forward_answer answer);

    /** @return how long until enough services have an available target; nothing when they have none */
    std::optional<duration> until_coverable(const forwarding_run& run) const;

private:
    forwarding_core& m_core;
    part_dispatcher& m_dispatcher;
};

} // namespace tamarack
