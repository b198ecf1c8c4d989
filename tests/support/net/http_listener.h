#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack::testing_support {

/** Properties of a real server that a listener simulates. */
struct listener_options {
    std::chrono::microseconds connection_cost{}; ///< delay before the first read on each new connection
    std::size_t connections = 10'000; ///< maximum open connections; further ones are closed at once
};

/** Connection counts of a listener. */
struct listener_counts {
    std::size_t open = 0;
    std::size_t max_open = 0;
    std::size_t accepted = 0;
    std::size_t refused = 0; ///< connections closed because of the limit
};

using plain_responder = std::function<void(plain_response)>;
using plain_handler = std::function<void(plain_request, plain_responder)>;

/** A small HTTP/1.1 server for test programs, independent of the one under test. */
class http_listener {
public:
    http_listener(event_loop& loop, listener_options options, plain_handler handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    /**
     * Starts listening.
     *
     * @param ip    IP address to bind
     * @param port  port to bind; 0 selects a free one
     * @return the bound address, "ip:port"
     */
    std::string listen(const std::string& ip, unsigned short port);

    /** Stops answering on the currently open connections without closing them. */
    void silence_open_connections();

    /** Closes the listening socket. */
    void stop_accepting();

    listener_counts counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack::testing_support
