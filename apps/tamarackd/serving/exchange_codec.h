#pragma once

#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

namespace tamarack {

/**
 * Writes an exchange as the HTTP request that asks a target to run it.
 *
 * @param wanted  the exchange
 * @param incarnation    this process's incarnation: makes the exchange's identifier unique among all hosts
 * @param now     to work out the time that remains
 */
http_request to_run_request(const exchange& wanted, incarnation_id incarnation, time_point now);

/** @return the reply that a target gave, `malformed` when it can't be read as one to this process */
exchange_reply read_run_response(http_response response, incarnation_id incarnation);

/** @return the HTTP request that tells a target that an exchange is no longer wanted */
http_request to_cancel_request(exchange_number number, incarnation_id incarnation);

/** @return the HTTP request that proves a connection live */
http_request to_liveness_request();

} // namespace tamarack
