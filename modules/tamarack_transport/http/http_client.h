#pragma once

#include "../threads/worker_thread.h"
#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace tamarack {

/** Callbacks of a client connection, called on the connection's thread. */
struct http_connection_events {
    std::function<void()> opened;
    std::function<void()>
        lost; ///< the connection failed or was closed, or could not be opened; no callback follows
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
