#pragma once

#include "../policies/query_policies.h"
#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/** Protections that tests switch off to see the check for their invariant bite. Always on in the daemon. */
struct query_protections {
    bool check_reply_version = true;
    bool check_reply_number = true;
    bool limit_connections = true;
    bool limit_slots = true;
    bool limit_extra_load = true;
    bool claim_before_sending = true;
    bool probe_before_sending_at_most_once = true;
    bool quarantine = true;
    bool suspect_silent_connections = true;
};

/** Times and bounds of the engine. */
struct query_options {
    duration connect_timeout = 1s;
    duration probe_timeout = 200ms;
    duration claim_timeout = 2s;
    duration quarantine_duration = 10min;
    std::size_t max_quarantined_requests = 1'000;
    std::size_t max_completed_contents = 10'000; ///< for explain
    duration answer_margin = 1ms;                ///< the answer is given this long before the deadline
    duration cancelled_reply_timeout = 50ms;     ///< for the reply to a cancelled exchange
    duration slot_hold_time = 30ms;              ///< a slot stays taken after a close without a reply
    duration lingering_connection_timeout = 60s; ///< a target keeps a silent connection for so long
    duration ramp_duration = 10s;                ///< of a cold target, to its full share
    query_protections protections;
    query_policies policies; ///< the decisions that are replaced; an empty one is the default
};

} // namespace tamarack
