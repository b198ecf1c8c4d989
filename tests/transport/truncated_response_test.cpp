#include <utility>

#include "loopback_server.h"

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <string>

namespace tamarack {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t body_limit = 64 * kibibyte;

/** For each connection, reads a request, writes a part of a response and closes in an orderly way. */
class truncating_server {
public:
    truncating_server(std::string response, std::size_t connections)
        : m_server([response = std::move(response), connections](tcp::acceptor& acceptor) {
              serve(acceptor, response, connections);
          }) {}

    endpoint address() const { return m_server.address(); }

private:
    /** Connection N gets the first N bytes. */
    static void serve(tcp::acceptor& acceptor, const std::string& response, std::size_t connections) {
        for (std::size_t bytes = 0; bytes < connections; ++bytes) {
            tcp::socket socket = acceptor.accept();
            boost::system::error_code ignored;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            boost::asio::write(socket, boost::asio::buffer(response.data(), bytes), ignored);
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        }
    }

    testing_support::loopback_server m_server;
};

/** Sends a request. @return the response, if the connection was not lost before it was complete */
std::optional<http_response> call(worker_thread& thread, const endpoint& address) {
    std::promise<std::optional<http_response>> ended;
    std::unique_ptr<http_connection> connection;
    bool has_ended = false;
    const auto end = [&](std::optional<http_response> response) {
        if (!std::exchange(has_ended, true)) {
            ended.set_value(std::move(response));
        }
    };
    http_connection_events events;
    events.opened = [&] {
        http_request request;
        request.target = "/";
        connection->send(request, [&](http_response response) { end(std::move(response)); });
    };
    events.lost = [&](connection_end) { end(std::nullopt); };
    std::promise<void> opened;
    thread.try_post([&] {
        connection = std::make_unique<http_connection>(thread, address, 10s, body_limit, std::move(events));
        opened.set_value();
    });
    opened.get_future().wait();
    auto response = ended.get_future().get();
    std::promise<void> closed;
    thread.try_post([&] {
        connection.reset();
        closed.set_value();
    });
    closed.get_future().wait();
    return response;
}

/** Calls a server that breaks off after each number of bytes. @return the numbers for which there was a
 * response */
std::vector<std::size_t> answered_after(const std::string& response) {
    truncating_server server{response, response.size()};
    worker_thread thread{"client", 8};
    thread.start();
    std::vector<std::size_t> answered;
    for (std::size_t bytes = 0; bytes < response.size(); ++bytes) {
        if (call(thread, server.address())) {
            answered.push_back(bytes);
        }
    }
    thread.stop();
    return answered;
}

/** Guards against a response that looks complete although its sender stopped within its head or body. */
TEST(truncated_response, with_a_length_is_never_taken_for_a_complete_one) {
    EXPECT_TRUE(
        answered_after("HTTP/1.1 200 OK\r\nX-Stamp: a.1\r\nContent-Length: 16\r\n\r\n0123456789abcdef")
            .empty());
}

TEST(truncated_response, in_chunks_is_never_taken_for_a_complete_one) {
    EXPECT_TRUE(answered_after("HTTP/1.1 200 OK\r\nX-Stamp: a.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n")
                    .empty());
}

/** Such a body ends with its connection, so only its head must be complete. */
TEST(truncated_response, without_a_length_needs_its_whole_head) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Stamp: a.1\r\n\r\n";
    const std::vector<std::size_t> answered = answered_after(head + "0123456789abcdef");
    ASSERT_FALSE(answered.empty());
    EXPECT_GE(answered.front(), head.size());
}

/** Guards against the loss of a request that is sent as soon as a response was received that ends with its
 * connection. */
TEST(truncated_response, without_a_length_is_followed_by_no_request_on_its_connection) {
    testing_support::loopback_server server{[&](tcp::acceptor& acceptor) {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket,
                           boost::asio::buffer(std::string{"HTTP/1.1 200 OK\r\nX-Stamp: a.1\r\n\r\nok"}));
        socket.close();
    }};
    worker_thread thread{"client", 8};
    std::promise<void> lost;
    bool sent_again = false;
    std::unique_ptr<http_connection> connection;
    http_connection_events events;
    http_request request;
    request.target = "/";
    events.opened = [&] {
        connection->send(request, [&](const http_response& response) {
            if (!response.ends_connection) {
                sent_again = true;
                connection->send(request, [](const http_response&) {});
            }
        });
    };
    events.lost = [&](connection_end) { lost.set_value(); };
    connection =
        std::make_unique<http_connection>(thread, server.address(), 10s, body_limit, std::move(events));
    thread.start();
    lost.get_future().wait();
    thread.stop();
    EXPECT_FALSE(sent_again) << "the request was sent on an ended connection, and lost";
}

} // namespace
} // namespace tamarack
