#pragma once

#include "object_reader.h"
#include "ticket.h"

#include <json/value.h>

#include <string>
#include <variant>

namespace tamarack {

/**
 * Parses a ticket from JSON text. Unknown members are faults.
 *
 * @param text  at most one MiB of JSON
 * @return the ticket, or every fault of its structure
 * @see check_ticket, which checks the content
 */
std::variant<ticket, ticket_faults> parse_ticket(const std::string& text);

/** @return the ticket as JSON, with objects in canonical order; an empty author is left out */
Json::Value encode_ticket(const ticket& value);

/** @return the ticket decoded from the output of encode_ticket, or what is wrong with the JSON */
outcome<ticket> decode_ticket(const Json::Value& json);

/**
 * @return the canonical text of a ticket's content, without its author; the ticket's digest is computed from
 *         it
 */
std::string content_text_of(const ticket& value);

/**
 * @return the digest of a ticket's content, which doesn't depend on the order of objects or the layout of the
 *         JSON
 */
digest digest_of_ticket(const ticket& value);

/** @return a configuration as JSON */
Json::Value encode_configuration(const configuration& value);

/** @return the configuration, or what is wrong with the JSON */
outcome<configuration> decode_configuration(const Json::Value& json);

} // namespace tamarack
