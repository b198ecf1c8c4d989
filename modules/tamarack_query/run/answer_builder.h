#pragma once

#include "query_run.h"

namespace tamarack {

/**
 * Builds the answer to a request from the parts received.
 *
 * Coverage is derived from the parts themselves: a shard is covered if and only if its part is in the answer.
 *
 * @param run          the request; its parts are moved into the answer
 * @param ticket       the ticket in force
 */
query_answer build_answer(query_run& run, ticket_number ticket);

/** @return an answer without parts */
query_answer build_refusal(const query_run& run, ticket_number ticket, request_outcome outcome,
                           refusal_reason reason, duration retry_after);

} // namespace tamarack
