#pragma once

#include "../messages/control_message.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarack {

/** Send a message to a control host. */
struct send_to_control {
    host_id to;
    control_message message;
};

/** The configuration, the assignment or the evacuation orders changed; apply it before the actions that
 * follow. */
struct configuration_changed {};

/** The lease was extended or has ended. */
struct lease_changed {
    time_point ends_at;
};

/** A claim was decided. */
struct claim_answered {
    std::uint64_t request = 0;
    claim_answer answer;
};

/**
 * The decision on a claim is unknown: no answer came by its deadline. Or the claim was not sent, since too
 * many results were unrecorded.
 */
struct claim_uncertain {
    std::uint64_t request = 0;
};

/** Action that the caller must carry out after an event, in the given order. */
using control_client_action =
    std::variant<send_to_control, configuration_changed, lease_changed, claim_answered, claim_uncertain>;
using control_client_actions = std::vector<control_client_action>;

} // namespace tamarack
