#pragma once

#include "../calls/control_call.h"
#include "../calls/directory_call.h"

#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <optional>

namespace tamarack {

/**
 * Encodes and decodes the messages of one edge. Every hook must be set and must be stateless.
 *
 * Thread safety: the hooks are called concurrently from several threads.
 */
struct edge_protocol {
    /** Decodes a caller's request. The request number is assigned by the code that calls the hook. */
    std::function<outcome<forward_request>(http_request)> read_request;
    /** Encodes the answer to a request that read_request rejected. */
    std::function<http_response(const error&)> write_bad_request;
    std::function<http_request(const target_exchange&)> write_exchange;
    /** Decodes a target's reply to the exchange that belongs to this request. */
    std::function<target_reply(const request_id&, http_response)> read_reply;
    std::function<http_response(forward_answer)> write_answer;

    /** @return whether the call is a readiness check (does the host accept callers?) */
    std::function<bool(const http_request&)> is_readiness_call;
    std::function<http_response(bool ready)> write_readiness;
    std::function<std::optional<directory_call>(const http_request&)> read_directory_call;
    std::function<http_response(const directory_reply&)> write_directory_reply;

    std::function<control_call(const http_request&)> read_control_call;
    std::function<http_response(const control_outcome&)> write_control_outcome;
};

} // namespace tamarack
