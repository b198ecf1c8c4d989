#pragma once

#include "invocation.h"

#include <tamarack_transport/tamarack_transport.h>

#include <vector>

namespace tamarack::ctl {

/**
 * Sends one request to the hosts at the given addresses until one of them decides it.
 *
 * Follows "not the leader" to the leader, and tries the next address where a host can't be reached or isn't
 * ready. Use it only for requests that may be repeated.
 *
 * @param addresses  at least one
 * @param request    is sent with the operator's token, if there is one
 * @param values     gives the time limit and the token
 * @return the deciding response; the last one that was not ready; or unavailable or timed_out
 */
outcome<http_response> send_until_decided(const std::vector<endpoint>& addresses, const http_request& request,
                                          const invocation& values);

/** @return a request; the body, if any, is JSON */
http_request make_request(http_method method, std::string target, std::string body = {});

} // namespace tamarack::ctl
