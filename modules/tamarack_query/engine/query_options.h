#pragma once

#include "../policies/query_policies.h"
#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/**
 * Protections. Tests switch one off to show that the check of the invariant that it protects then fails.
 * Always on in the daemon.
 */
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

/** Times and limits of the engine. */
struct query_options {
    duration connect_timeout = 1s;
    duration probe_timeout = 200ms;
    duration claim_timeout = 2s;
    duration quarantine_duration = 10min;
    std::size_t max_quarantined_requests = 1'000;
    std::size_t max_completed_contents = 10'000; ///< maximum number of contents remembered as completed
    duration answer_margin = 1ms;            ///< answers are sent this long before the deadline at the latest
    duration cancelled_reply_timeout = 50ms; ///< how long to wait for the reply to a cancelled exchange
    duration slot_hold_time = 30ms; ///< how long a slot stays taken after a connection closed without a reply
    duration lingering_connection_timeout = 60s; ///< assumed time until a target drops a closed connection
    duration ramp_duration = 10s;                ///< time over which a new target ramps up to its full share
    query_protections protections;
    query_policies policies; ///< decisions that can be replaced; an empty policy stands for the default
};

} // namespace tamarack
