#pragma once

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/** An operator sends a whole configuration. */
struct submit_configuration {
    ticket candidate;
};

/** An operator asks for the newest configuration. */
struct read_configuration {};

/** A target tells its state. */
struct announce_target {
    announcement value;
};

/** A target ends. */
struct deregister_target {
    target_id target;
    std::optional<incarnation_id> incarnation; ///< absent when it did not say
};

/** A call that can't be read; nothing is done. */
struct unreadable_call {
    error reason;
};

/** A call of an operator or a target. */
using control_call = std::variant<submit_configuration, read_configuration, announce_target,
                                  deregister_target, unreadable_call>;

/** What became of a call. */
enum class control_result {
    done,        ///< carried out, or changes nothing
    invalid,     ///< its content has faults; nothing has changed
    refused,     ///< it contradicts what is known; nothing has changed
    not_found,   ///< no such call
    redirected,  ///< another host answers it
    unavailable, ///< not now; the same call may be sent again
};

template <>
struct name_table<control_result> {
    static constexpr std::array<std::pair<control_result, std::string_view>, 6> entries{{
        {control_result::done, "done"},
        {control_result::invalid, "invalid"},
        {control_result::refused, "refused"},
        {control_result::not_found, "not_found"},
        {control_result::redirected, "elsewhere"},
        {control_result::unavailable, "unavailable"},
    }};
};

/** Answer to a call of an operator or a target. */
struct control_outcome {
    control_result result = control_result::done;
    std::string message;  ///< why, for people
    std::string document; ///< of read_configuration
    endpoint redirect_to; ///< of `redirected`: the control address to ask
    std::string path;     ///< of the call, for `redirected`
    endpoint announce_to; ///< for a target's next announcements; empty leaves it the choice
};

} // namespace tamarack
