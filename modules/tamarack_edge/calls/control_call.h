#pragma once

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/** An operator submits a complete configuration. */
struct submit_configuration {
    ticket candidate;
};

/** An operator requests the newest configuration. */
struct read_configuration {};

/** An operator orders the evacuation of a data centre, or withdraws an order. */
struct order_evacuation {
    data_center_id data_center;
    bool active = true; ///< false: the order is withdrawn
};

/** A target announces its state. */
struct announce_target {
    announcement value;
};

/** A target deregisters. */
struct deregister_target {
    target_id target;
    std::optional<incarnation_id> incarnation; ///< absent if the target did not send it
};

/** A call that could not be decoded; it has no effect. */
struct unreadable_call {
    error reason;
};

/** A call from an operator or a target. */
using control_call = std::variant<submit_configuration, read_configuration, order_evacuation, announce_target,
                                  deregister_target, unreadable_call>;

/** Result of a call. */
enum class control_result {
    done,        ///< carried out, or there was nothing to change
    invalid,     ///< the content is invalid; nothing has changed
    refused,     ///< the content conflicts with the current state; nothing has changed
    not_found,   ///< no such call, or it names something unknown
    redirected,  ///< another host has to answer the call
    unavailable, ///< temporarily not possible; the same call may be retried
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

/** Answer to a call from an operator or a target. */
struct control_outcome {
    control_result result = control_result::done;
    std::string message;  ///< human-readable reason
    std::string document; ///< read_configuration's result
    endpoint redirect_to; ///< for `redirected`: control address of the host to ask
    std::string path;     ///< for `redirected`: the call's path
    endpoint announce_to; ///< where to send the target's next announcements; empty if it may choose a host
};

} // namespace tamarack
