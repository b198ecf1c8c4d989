#pragma once

#include "../state/control_state.h"
#include "lease_manager.h"

#include <optional>

namespace tamarack {

/**
 * Decides whether the leader should propose a next assignment now. Internal to the module.
 *
 * A next epoch is planned only once the current one is settled and every host that may hold a lease is known,
 * since a host that isn't known yet would be treated as lost.
 *
 * @return the assignment to propose, or nothing
 */
std::optional<assignment> next_assignment(time_point now, const control_state& state,
                                          const lease_manager& leases);

} // namespace tamarack
