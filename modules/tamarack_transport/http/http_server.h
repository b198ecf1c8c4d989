#pragma once

#include "../threads/worker_thread.h"
#include "connection_refusal.h"
#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace tamarack {

/** Limits of a server. */
struct http_server_limits {
    std::size_t header_bytes = 16 * kibibyte;
    std::size_t body_bytes = 1 * mebibyte;
    std::size_t header_fields = 4'096; ///< number of fields of one request
    /** Memory of all connections together for requests that are received or handled and responses that are
     * sent, beyond a buffer of 4 KiB per connection. */
    std::size_t memory = 64 * mebibyte;
    std::size_t connections = 2'000; ///< further connections are closed at once
    duration idle = 60s;             ///< an idle connection is closed after this time
    duration receipt = 10s;          ///< maximum time to receive one request, and to send one response
};

/** Sends the response to one request; call it once, on the server's thread. */
using http_responder = std::function<void(http_response)>;

/**
 * Handles one request.
 *
 * @return a function that is called when the peer disconnects before the response, or nullptr
 */
using http_handler = std::function<std::function<void()>(http_request, http_responder)>;

/**
 * An HTTP/1.1 server on one address.
 *
 * A malformed or oversized request is answered with 4xx, and its connection is closed. A connection whose
 * request arrives too slowly is closed without a response. When the memory for connections is short, those
 * that have held it longest without completing a request or response are ended.
 *
 * @see connection_budget
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
     * Starts to listen. To be called before the thread starts, or on it.
     *
     * @param address  IP address and port; port 0 selects a free port
     * @return the address that the server listens on
     */
    outcome<endpoint> listen(const endpoint& address);

    /** Replaces the limits; open connections apply the new ones from their next request on. */
    void set_limits(const http_server_limits& limits);

    /**
     * Sets a function that is called on the server's thread for each request or connection that was refused
     * or ended because of a limit. To be called before the thread starts.
     */
    void on_refusal(std::function<void(connection_refusal)> refused);

    /** Closes each connection after its next response; new connections are still accepted. */
    void close_after_responses();

    /** Closes the listening socket; responses on open connections carry "Connection: close" from now on. */
    void stop_accepting();

    /**
     * Stops accepting, and closes each connection that carries no request, at once or after its response. To
     * be called on the server's thread.
     *
     * @param closed  called on that thread once all connections are closed
     */
    void close_connections(std::function<void()> closed);

    /** @return the number of open connections */
    std::size_t connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
