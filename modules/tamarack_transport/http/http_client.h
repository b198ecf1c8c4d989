#pragma once

#include "../threads/worker_thread.h"
#include "http_message.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace tamarack {

/** Why a client connection ended. */
enum class connection_end {
    unreachable,        ///< it could not be opened
    closed,             ///< by the peer, also within a response
    failed,             ///< reset by the peer, or a read or write failed
    malformed_response, ///< the peer sent bytes that are no response, or a response that is too long
    unexpected_bytes,   ///< the peer sent bytes that belong to no request
    ended_by_response,  ///< a response said so, or came before its request was written
    request_unsent,     ///< closed or failed before a byte of the request was passed to the system
};

template <>
struct name_table<connection_end> {
    static constexpr std::array<std::pair<connection_end, std::string_view>, 7> entries{{
        {connection_end::unreachable, "unreachable"},
        {connection_end::closed, "closed"},
        {connection_end::failed, "failed"},
        {connection_end::malformed_response, "malformed_response"},
        {connection_end::unexpected_bytes, "unexpected_bytes"},
        {connection_end::ended_by_response, "ended_by_response"},
        {connection_end::request_unsent, "request_unsent"},
    }};
};

/** Callbacks of a client connection, called on the connection's thread. */
struct http_connection_events {
    std::function<void()> opened;
    std::function<void(connection_end)> lost; ///< it ended, or could not be opened; no callback follows
    std::function<void()> written = nullptr;  ///< a request was passed to the system as a whole
};

/** Receives the response; not called when the connection is lost first. If the response ends the connection,
 * no other request may be sent on it, and `lost` follows. */
using http_response_handler = std::function<void(http_response)>;

/**
 * A client connection that carries one request at a time and never retries.
 */
class http_connection {
public:
    /** Starts to connect. */
    http_connection(worker_thread& thread, const endpoint& address, duration connect_timeout,
                    std::size_t body_limit, http_connection_events events);
    /** Closes the connection; no callback follows. */
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(http_connection&&) = delete;

    /** Sends a request. The connection must be open and idle; on a closed one the call has no effect. */
    void send(const http_request& request, http_response_handler handler);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/**
 * Sends one request on a new connection; meant for tools and infrequent requests.
 *
 * @param timeout  for connecting, sending and receiving together
 * @param handler  receives the response, or a timed_out or unavailable error
 */
void fetch(worker_thread& thread, const endpoint& address, const http_request& request, duration timeout,
           std::function<void(outcome<http_response>)> handler);

/** Like fetch, but blocks the calling thread until the result is available. For command-line tools. */
outcome<http_response> fetch_and_wait(const endpoint& address, const http_request& request, duration timeout);

} // namespace tamarack
