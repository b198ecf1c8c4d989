#pragma once

#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

namespace tamarack {

/**
 * Encodes an exchange as the HTTP request that makes a target run it.
 *
 * @param sent         the exchange
 * @param incarnation  this process's incarnation; makes the exchange's identifier unique among all hosts
 * @param now          current time, for the remaining time that the target is given
 */
http_request to_run_request(const exchange& sent, incarnation_id incarnation, time_point now);

/** @return the target's reply; `malformed` if it can't be decoded or answers another process's exchange */
exchange_reply read_run_response(http_response response, incarnation_id incarnation);

/** @return the HTTP request that cancels an exchange at a target */
http_request to_cancel_request(exchange_number number, incarnation_id incarnation);

/** @return the HTTP request that probes whether a connection is live */
http_request to_liveness_request();

} // namespace tamarack
