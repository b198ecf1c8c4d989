#pragma once

#include "../threads/worker_thread.h"
#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace tamarack {

/** Bounds on what a server accepts. */
struct http_server_limits {
    std::size_t header_bytes = 16 * kibibyte;
    std::size_t body_bytes = 1 * mebibyte;
    std::size_t connections = 2'000;
    duration idle = 60s;    ///< an idle connection is closed after this
    duration receipt = 10s; ///< longest time to receive one request, and to send one response
};

/** Answers one request; call it once, on the server's thread. */
using http_responder = std::function<void(http_response)>;

/**
 * Handles one request.
 *
 * @return a function to call when the peer goes away before the answer, or nullptr
 */
using http_handler = std::function<std::function<void()>(http_request, http_responder)>;

/**
 * An HTTP/1.1 server on one address.
 *
 * A malformed or oversized request is answered with 4xx and its connection closed; a slow one is closed.
 */
class http_server {
public:
    http_server(worker_thread& thread, http_server_limits limits, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /**
     * Begins to listen. Before the thread starts, or on it.
     *
     * @param address  IP address and port; port 0 takes a free one
     * @return the address in use
     */
    outcome<endpoint> listen(const endpoint& address);

    /** Replaces the limits; connections that are open keep to them from their next request on. */
    void set_limits(const http_server_limits& limits);

    /** Closes each connection after its next response; new connections are still accepted. */
    void close_after_responses();

    /** Closes the listening socket; open connections are answered with "Connection: close" from now on. */
    void stop_accepting();

    /** @return open connections */
    std::size_t connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
