#pragma once

#include "../budget/extra_budget.h"
#include <tamarack_base/tamarack_base.h>
#include <tamarack_settings/tamarack_settings.h>

#include <cstddef>

namespace tamarack {

/**
 * Protections that tests switch off to prove that the check of a guarantee fails without them. Always on in
 * the daemon.
 */
struct forwarding_protections {
    bool limit_extra_load = true;
    bool limit_connections = true;
    bool single_run_of_crashing = true; ///< a request that crashes targets is sent to one target only
    bool enforce_at_most_once = true;   ///< a request that must not be repeated is sent once
    bool honour_backoff = true;         ///< a target in backoff is sent nothing
    bool honour_request_limits = true;  ///< a target gets no more requests than the limit that it states
    bool honour_leaving = true;         ///< a target that announced that it is leaving gets no new work
};

/** Timeouts, limits and protections of the engine. */
struct forwarding_options {
    host_id host;               ///< this host
    data_center_id data_center; ///< of this host
    extra_budget_limits extra;  ///< per service, for all hosts together
    duration connect_timeout = 1s;
    duration abandoned_reply_timeout = 300ms; ///< how long a reply that is no longer needed is awaited
    duration first_reopen_delay = 100ms;      ///< after a failed connection attempt; doubles with each one
    std::size_t max_opening = 24;             ///< limit on concurrent connection attempts
    std::size_t warm_connections = 1;         ///< kept open to each target of a routed service
    duration no_target_retry = 500ms;         ///< retry delay sent to callers when there is no target
    duration no_configuration_retry = 250ms;
    /** Requests with a key are sent only under a lease from the control hosts. */
    bool keys_need_lease = false;
    duration key_lease_margin{0};   ///< a lease confirms keys until this long before its end
    limit_tolerance team_tolerance; ///< by how much teams may exceed their limits
    duration no_lease_retry = 20ms; ///< another host can serve the request at once
    locality_mode locality = locality_mode::fixed;
    mechanisms_in_use mechanisms;
    forwarding_protections protections;
};

} // namespace tamarack
