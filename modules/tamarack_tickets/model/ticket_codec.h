#pragma once

#include "object_reader.h"
#include "ticket.h"

#include <json/value.h>

#include <string>
#include <variant>

namespace tamarack {

/**
 * Reads a ticket from JSON text. Unknown members are faults.
 *
 * @param text  at most one MiB of JSON
 * @return the ticket, or every fault of its form
 * @see check_ticket for faults of its content
 */
std::variant<ticket, ticket_faults> parse_ticket(const std::string& text);

/** @return the ticket as JSON, objects in canonical order; the author is included when not empty */
Json::Value encode_ticket(const ticket& value);

/** @return the ticket that encode_ticket wrote, or what is wrong with the JSON */
outcome<ticket> decode_ticket(const Json::Value& json);

/** @return the canonical text of a ticket's content, without its author; its digest is that of the ticket */
std::string content_text_of(const ticket& value);

/** @return the digest of a ticket's content: equal for tickets that say the same in another order or layout
 */
digest digest_of_ticket(const ticket& value);

/** @return a configuration as JSON */
Json::Value encode_configuration(const configuration& value);

/** @return the configuration, or what is wrong with the JSON */
outcome<configuration> decode_configuration(const Json::Value& json);

} // namespace tamarack
