#pragma once

#include "../calls/control_call.h"
#include "../calls/directory_call.h"

#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <optional>

namespace tamarack {

/**
 * How one edge writes and reads its messages. Every hook is set; none keeps state.
 *
 * Watch out: the hooks are called on several threads.
 */
struct edge_protocol {
    /** Reads a caller's request; its number is left to the caller of the hook. */
    std::function<outcome<forward_request>(http_request)> read_request;
    /** Answers a request that read_request refused. */
    std::function<http_response(const error&)> write_bad_request;
    std::function<http_request(const target_exchange&)> write_exchange;
    /** Reads a target's reply to the exchange of this request. */
    std::function<target_reply(const request_id&, http_response)> read_reply;
    std::function<http_response(forward_answer)> write_answer;

    /** @return whether the call asks if the host takes callers */
    std::function<bool(const http_request&)> is_readiness_call;
    std::function<http_response(bool ready)> write_readiness;
    std::function<std::optional<directory_call>(const http_request&)> read_directory_call;
    std::function<http_response(const directory_reply&)> write_directory_reply;

    std::function<control_call(const http_request&)> read_control_call;
    std::function<http_response(const control_outcome&)> write_control_outcome;
};

} // namespace tamarack
