#pragma once

#include "event_loop.h"
#include "http_types.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack::testing_support {

/** What a listener simulates of a real server. */
struct listener_options {
    std::chrono::microseconds connection_cost{}; ///< time that each new connection takes
    std::size_t connections = 10'000;            ///< further ones are closed at once
};

/** What a listener saw. */
struct listener_counts {
    std::size_t open = 0;
    std::size_t max_open = 0;
    std::size_t accepted = 0;
    std::size_t refused = 0; ///< beyond the limit
};

using plain_responder = std::function<void(plain_response)>;
using plain_handler = std::function<void(plain_request, plain_responder)>;

/** A small HTTP/1.1 server for test programs, independent of the product's own. */
class http_listener {
public:
    http_listener(event_loop& loop, listener_options options, plain_handler handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    /**
     * Begins to listen.
     *
     * @param ip    IP address
     * @param port  0 takes a free one
     * @return the address in use, "ip:port"
     */
    std::string listen(const std::string& ip, unsigned short port);

    /** Stops answering on the connections that are open now, without closing them. */
    void silence_open_connections();

    /** Closes the listening socket. */
    void stop_accepting();

    listener_counts counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack::testing_support
