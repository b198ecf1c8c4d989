#pragma once

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

namespace tamarack {

/** A caller's request as decoded from HTTP, with a relative deadline. */
struct read_caller_request {
    caller_request request;
    duration deadline{}; ///< zero if the caller gave none
};

/**
 * Decodes a caller's request.
 *
 * @param service  the service named in the path
 * @param message  the HTTP request
 * @return the request, without number and absolute deadline, or a `malformed` error
 */
outcome<read_caller_request> read_request(const service_id& service, const http_request& message);

/** @return an answer as HTTP. @param others  addresses of other hosts, listed if the answer is a refusal */
http_response to_response(const query_answer& answer, const std::vector<endpoint>& others);

/** @return a directory answer as HTTP */
http_response to_response(const service_id& service, const directory_answer& answer);

/** @return the receipt of an announcement as HTTP */
http_response to_response(const announcement_receipt& receipt);

/** @return an error as HTTP; the status follows from the error code */
http_response to_response(const error& failure);

/** @return a JSON response */
http_response json_response(unsigned status, const Json::Value& body);

} // namespace tamarack
