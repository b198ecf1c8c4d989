#pragma once

#include "../model/ticket_codec.h"

namespace tamarack {

/**
 * Checks a ticket's content against the configuration that it would change.
 *
 * @param candidate  a well-formed ticket
 * @param current    the configuration before it
 * @return every fault; empty when the ticket can be applied
 */
ticket_faults check_ticket(const ticket& candidate, const configuration& current);

/**
 * Applies a ticket that check_ticket found without faults.
 *
 * @param accepted  the ticket
 * @param current   the configuration before it
 * @return the configuration after it
 */
configuration apply_ticket(const ticket& accepted, const configuration& current);

/**
 * Overload that takes the digest of the ticket's content, which is expensive to compute for a large ticket.
 */
configuration apply_ticket(const ticket& accepted, const configuration& current, const digest& content);

/** @return one line for each object that differs between two configurations, in a stable order */
std::vector<std::string> describe_difference(const configuration& before, const configuration& after);

} // namespace tamarack
