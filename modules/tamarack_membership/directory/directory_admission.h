#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <functional>

namespace tamarack {

/** Inputs of the decision whether the directory may list a host that has started. */
struct directory_admission_inputs {
    const route_table* routes = nullptr; ///< nullptr while no ticket is known
    bool routes_confirmed = false;       ///< the control hosts have confirmed their ticket as the latest
    std::function<bool(const service_id&)> has_targets; ///< whether the host knows a usable target
    bool others_listed = false;                         ///< the directory lists other hosts
};

/**
 * Decides when the directory may list a host that has started.
 *
 * Load pattern: all hosts are killed at once or lose power. A caller excludes each address that has failed
 * it, and has none left until the directory lists hosts again. Therefore a host is listed as soon as it can
 * serve all routes, or any route while no other host is listed. Configured services that no route uses, such
 * as a replaced set of shards, are not waited for. The ticket that a control host has on its disk may be
 * older than the latest accepted one until a leader is elected, so its confirmation is waited for.
 */
class directory_admission {
public:
    /** @return whether the host may be listed now */
    bool may_enter(time_point now, const directory_admission_inputs& inputs);

private:
    time_point m_first_routes_at = time_point::max(); ///< when the first route table was known
};

} // namespace tamarack
