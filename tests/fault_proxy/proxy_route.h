#pragma once

#include "proxy_faults.h"

#include "support/net/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack::fault_proxy {

/** Forwards TCP connections to one server and injects faults. */
class proxy_route {
public:
    /**
     * @param loop    event loop on which the route runs
     * @param listen  address to listen on, "ip:port"; port 0 selects a free one
     * @param server  address to forward to, "ip:port"
     */
    proxy_route(testing_support::event_loop& loop, const std::string& listen, const std::string& server);
    ~proxy_route();
    proxy_route(const proxy_route&) = delete;
    proxy_route& operator=(const proxy_route&) = delete;
    proxy_route(proxy_route&&) = delete;
    proxy_route& operator=(proxy_route&&) = delete;

    /** @return the address on which the route listens */
    std::string address() const;

    /** @return the faults in effect; changes to them apply immediately */
    proxy_faults& faults();

    /** Stops forwarding on the currently open connections without closing them. */
    void silence_open_connections();

    /** Closes the currently open connections. */
    void close_open_connections();

    /** Closes the listening port and all connections, like a crashed process; new connections are refused. */
    void stop_listening();

    /** Listens on the same port again. */
    void listen_again();

    /** @return the number of open connections */
    std::size_t open_connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack::fault_proxy
