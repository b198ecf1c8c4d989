#pragma once

#include "invocation.h"

#include <tamarack_transport/tamarack_transport.h>

#include <vector>

namespace tamarack::ctl {

/**
 * Sends a request to the given addresses in turn until a host gives a final response.
 *
 * Follows a "not the leader" response to the leader, and moves on to the next address if a host can't be
 * reached or isn't ready. The request may be sent several times, so it must be safe to repeat.
 *
 * @param addresses  at least one
 * @param request    sent with the operator's token, if one is given
 * @param values     supplies the time-out and the token
 * @return the final response; otherwise the last "not the leader" or "unavailable" response; or the error
 *         unavailable or timed_out if no host answered
 */
outcome<http_response> send_with_failover(const std::vector<endpoint>& addresses, const http_request& request,
                                          const invocation& values);

/** @return a request; a body that is not empty is sent as JSON */
http_request make_request(http_method method, std::string target, std::string body = {});

} // namespace tamarack::ctl
