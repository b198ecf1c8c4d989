#pragma once

#include "invocation.h"

#include <tamarack_transport/tamarack_transport.h>

#include <vector>

namespace tamarack::ctl {

/**
 * Sends a request to the hosts at the given addresses, one after the other, until one gives a conclusive
 * response.
 *
 * Follows a "not the leader" response to the leader. Tries the next address if a host is unreachable or not
 * ready. Use it only for requests that may be sent more than once.
 *
 * @param addresses  at least one
 * @param request    sent with the operator's token, if there is one
 * @param values     time limit and token
 * @return the conclusive response; else the last "not ready" response; else `unavailable` or `timed_out`
 */
outcome<http_response> send_until_decided(const std::vector<endpoint>& addresses, const http_request& request,
                                          const invocation& values);

/** @return a request; a non-empty body is sent as JSON */
http_request make_request(http_method method, std::string target, std::string body = {});

} // namespace tamarack::ctl
