#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** Receives the response, or std::nullopt if the call failed or timed out. */
using call_handler = std::function<void(std::optional<plain_response>)>;

/**
 * Sends one request on a new connection.
 *
 * @param loop     event loop on which the handler runs
 * @param address  "ip:port"
 * @param request  request to send
 * @param limit    time-out for connecting, sending and receiving together
 * @param handler  called exactly once
 */
void call(event_loop& loop, const std::string& address, const plain_request& request,
          std::chrono::milliseconds limit, call_handler handler);

/** Like call(), but blocks until the result is available. For tests. */
std::optional<plain_response> call_and_wait(const std::string& address, const plain_request& request,
                                            std::chrono::milliseconds limit);

} // namespace tamarack::testing_support
