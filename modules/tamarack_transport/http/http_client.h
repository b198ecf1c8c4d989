#pragma once

#include "../threads/worker_thread.h"
#include "http_message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace tamarack {

/** What happens to a client connection. Each is called on the connection's thread. */
struct http_connection_events {
    std::function<void()> opened;
    std::function<void()> lost; ///< could not be opened, was closed or broke; nothing follows
};

/** Receives the response; not called when the connection is lost first. */
using http_response_handler = std::function<void(http_response)>;

/**
 * One client connection: one request at a time, no retry of its own.
 */
class http_connection {
public:
    /** Begins to connect. */
    http_connection(worker_thread& thread, const endpoint& address, duration connect_timeout,
                    std::size_t body_limit, http_connection_events events);
    /** Closes the connection; no event follows. */
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(http_connection&&) = delete;

    /** Sends a request on the open, idle connection. */
    void send(const http_request& request, http_response_handler handler);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/**
 * One request on a connection of its own, for tools and rare traffic.
 *
 * @param timeout  for connecting, sending and receiving together
 * @param handler  receives the response, or timed_out or unavailable
 */
void fetch(worker_thread& thread, const endpoint& address, const http_request& request, duration timeout,
           std::function<void(outcome<http_response>)> handler);

/** The same as fetch, waiting for the result on the calling thread. For command-line tools. */
outcome<http_response> fetch_and_wait(const endpoint& address, const http_request& request, duration timeout);

} // namespace tamarack
