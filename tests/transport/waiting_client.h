#pragma once

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** An http_connection whose events can be waited for. */
class waiting_client {
public:
    static constexpr std::size_t response_limit = 64 * kibibyte;
    static constexpr duration event_limit = 10s;

    explicit waiting_client(const endpoint& address) {
        m_thread.start();
        std::promise<void> opened;
        http_connection_events events;
        events.opened = [&] { opened.set_value(); };
        events.lost = [this](connection_end end) { m_end.set_value(end); };
        run([&] {
            m_connection = std::make_unique<http_connection>(m_thread, address, event_limit, response_limit,
                                                             std::move(events));
        });
        opened.get_future().wait();
    }
    ~waiting_client() {
        run([this] { m_connection.reset(); });
        m_thread.stop();
    }
    waiting_client(const waiting_client&) = delete;
    waiting_client& operator=(const waiting_client&) = delete;
    waiting_client(waiting_client&&) = delete;
    waiting_client& operator=(waiting_client&&) = delete;

    /**
     * @param before      runs on the connection's thread, right before the request is sent
     * @param body_bytes  size of the request's body
     * @return the response to a request, if it came before the connection ended
     */
    std::optional<http_response> call(
        const std::function<void()>& before = [] {}, std::size_t body_bytes = 0) {
        auto response = std::make_shared<std::promise<http_response>>();
        auto received = response->get_future();
        run([this, response, &before, body_bytes] {
            before();
            http_request request;
            request.target = "/";
            request.body.assign(body_bytes, 'x');
            m_connection->send(request,
                               [response](const http_response& message) { response->set_value(message); });
        });
        while (received.wait_for(1ms) != std::future_status::ready) {
            if (end_within(0ms)) {
                return std::nullopt;
            }
        }
        return received.get();
    }

    /** @return why the connection ended, if it did so within a time */
    std::optional<connection_end> end_within(duration limit) {
        return m_ended.wait_for(limit) == std::future_status::ready ? std::optional{m_ended.get()}
                                                                    : std::nullopt;
    }

private:
    void run(const std::function<void()>& work) {
        std::promise<void> ran;
        m_thread.try_post([&] {
            work();
            ran.set_value();
        });
        ran.get_future().wait();
    }

    worker_thread m_thread{"client", 8};
    std::unique_ptr<http_connection> m_connection;
    std::promise<connection_end> m_end;
    std::shared_future<connection_end> m_ended{m_end.get_future()};
};

/** Reads the next request. @return whether there was one */
inline bool read_request(boost::asio::ip::tcp::socket& socket) {
    std::string request;
    boost::system::error_code failure;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
    return !failure;
}

} // namespace tamarack::testing_support
