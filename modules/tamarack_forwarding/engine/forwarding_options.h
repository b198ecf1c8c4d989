#pragma once

#include "../budget/extra_budget.h"
#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/** Protections that tests switch off to see the check for their promise bite. Always on in the daemon. */
struct forwarding_protections {
    bool limit_extra_load = true;
    bool limit_connections = true;
    bool single_run_of_crashing = true; ///< a request that crashes targets is sent to one only
    bool enforce_at_most_once = true;   ///< a request that must not repeat is sent once
    bool honour_backoff = true;         ///< a target that asked for a rest gets nothing while it lasts
    bool honour_leaving = true;         ///< a target that said that it leaves gets no new work
};

/** Times and bounds of the engine. */
struct forwarding_options {
    data_center_id data_center; ///< of this host
    extra_budget_limits extra;  ///< of each service, all hosts together
    duration connect_timeout = 1s;
    duration abandoned_reply_timeout = 300ms; ///< a reply that is no longer wanted is awaited for this long
    duration first_reopen_delay = 100ms;      ///< after a connection could not be opened; doubles
    std::size_t max_opening = 24;             ///< connections that are being opened at the same time
    std::size_t warm_connections = 1;         ///< kept to each target that routes lead to
    duration no_target_retry = 500ms;         ///< told to callers when no target is known
    duration no_configuration_retry = 250ms;
    forwarding_protections protections;
};

} // namespace tamarack
