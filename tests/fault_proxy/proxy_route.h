#pragma once

#include "proxy_faults.h"

#include "support/net/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack::fault_proxy {

/** Passes TCP connections on to one server, with faults. */
class proxy_route {
public:
    /**
     * @param loop    where it runs
     * @param listen  "ip:port"; port 0 takes a free one
     * @param server  "ip:port"
     */
    proxy_route(testing_support::event_loop& loop, const std::string& listen, const std::string& server);
    ~proxy_route();
    proxy_route(const proxy_route&) = delete;
    proxy_route& operator=(const proxy_route&) = delete;
    proxy_route(proxy_route&&) = delete;
    proxy_route& operator=(proxy_route&&) = delete;

    /** @return the address that it listens on */
    std::string address() const;

    /** The faults in effect; changes apply at once. */
    proxy_faults& faults();

    /** Makes the connections that are open now pass nothing any more, without closing them. */
    void silence_open_connections();

    /** Closes the connections that are open now. */
    void close_open_connections();

    /** Closes the port and all connections, as a process that crashed: new connections are refused. */
    void stop_listening();

    /** Listens on the same port again. */
    void listen_again();

    /** @return connections that are open now */
    std::size_t open_connections() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack::fault_proxy
