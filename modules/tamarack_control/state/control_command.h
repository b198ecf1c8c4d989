#pragma once

#include "evacuation_orders.h"

#include <tamarack_ledger/tamarack_ledger.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <string>
#include <variant>

namespace tamarack {

/** Content of a command entry of the log. */
using control_change = std::variant<ticket, claim, claim_result, assignment, evacuation_order>;

/** A command entry of the log. */
struct control_command {
    wall_time proposed_at{}; ///< the proposing leader's wall clock
    control_change change;
};

/** @return the command as text for the log */
std::string encode_command(const control_command& command);
/** @return the command, or what is wrong with the text */
outcome<control_command> decode_command(const std::string& text);

} // namespace tamarack
