#pragma once

#include "forwarding_core.h"

namespace tamarack {

/** Result of the check of a request's caller. */
struct caller_verdict {
    forward_outcome outcome = forward_outcome::not_run; ///< of a refusal
    forward_reason reason = forward_reason::none;       ///< `none` if the request may be served
    const team* holder = nullptr;                       ///< team that holds the caller's key, if any
    bool needs_lease = false; ///< the request may be sent only while this host can confirm the key
};

/**
 * Checks whether a request's caller may use a route.
 *
 * Failure pattern: a key is removed while this host is cut off from the control hosts, suspended or
 * restarted. A key is therefore accepted only under a lease that was granted with the latest ticket; without
 * a lease the request is refused as not run, so that the caller can use another host.
 *
 * Failure pattern: all hosts lose power while a data centre is evacuated. A host that has started knows
 * targets from its disk or from other hosts before it knows the evacuation orders, so it refuses all requests
 * as not run until it has received its first lease.
 *
 * @param core      must know a route table
 * @param selected  the request's route
 * @param stated    credentials of the request
 */
caller_verdict check_caller(const forwarding_core& core, const route& selected,
                            const caller_credentials& stated);

} // namespace tamarack
