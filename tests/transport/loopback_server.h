#pragma once

#include <utility>

#include <tamarack_base/tamarack_base.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace tamarack::testing_support {

/** A listening socket on the loopback address, and a thread that serves it; joined when the server goes. */
class loopback_server {
public:
    using tcp = boost::asio::ip::tcp;

    /**
     * @param serve                 runs on the thread
     * @param receive_buffer_bytes  of accepted connections; the system's default if empty
     */
    explicit loopback_server(std::function<void(tcp::acceptor&)> serve,
                             std::optional<int> receive_buffer_bytes = std::nullopt)
        : m_acceptor(listen(m_context, receive_buffer_bytes)),
          m_thread([this, serve = std::move(serve)] { serve(m_acceptor); }) {}
    ~loopback_server() { m_thread.join(); }
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;
    loopback_server(loopback_server&&) = delete;
    loopback_server& operator=(loopback_server&&) = delete;

    endpoint address() const {
        return endpoint{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

private:
    static tcp::acceptor listen(boost::asio::io_context& context, std::optional<int> receive_buffer_bytes) {
        const tcp::endpoint any_port{boost::asio::ip::address_v4::loopback(), 0};
        tcp::acceptor acceptor{context, any_port.protocol()};
        if (receive_buffer_bytes) {
            acceptor.set_option(boost::asio::socket_base::receive_buffer_size{*receive_buffer_bytes});
        }
        acceptor.bind(any_port);
        acceptor.listen();
        return acceptor;
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace tamarack::testing_support
