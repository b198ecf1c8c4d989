#include <utility>

#include "loopback_server.h"

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <future>
#include <string>

namespace tamarack {
namespace {

using boost::asio::ip::tcp;

constexpr int receive_buffer_bytes = 4'096;
/** More than the socket buffers of both ends hold. */
constexpr std::size_t body_bytes = 32 * mebibyte;
constexpr std::size_t response_limit = 64 * kibibyte;

/** What a server received after the head of the first request. */
struct received_body {
    std::size_t bytes = 0;
    std::size_t foreign_bytes = 0; ///< bytes that differ from those of the first request's body
};

/** Responds to a request as soon as it has its head, keeps the connection, and reads on once it is told to.
 */
class early_server {
public:
    explicit early_server(std::string response)
        : m_server(
              [this, response = std::move(response)](tcp::acceptor& acceptor) { serve(acceptor, response); },
              receive_buffer_bytes) {}

    endpoint address() const { return m_server.address(); }
    void read_on() { m_reads_on.set_value(); }
    /** Waits until the peer has closed the connection. */
    received_body received() { return m_received.get_future().get(); }

private:
    void serve(tcp::acceptor& acceptor, const std::string& response) {
        tcp::socket socket = acceptor.accept();
        std::string head;
        boost::system::error_code failure;
        const std::size_t head_bytes =
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", failure);
        boost::asio::write(socket, boost::asio::buffer(response), failure);
        m_reads_on.get_future().wait();
        received_body seen;
        count(std::string_view{head}.substr(head_bytes), seen);
        std::array<char, 65'536> piece{};
        while (!failure) {
            const std::size_t size = socket.read_some(boost::asio::buffer(piece), failure);
            count({piece.data(), size}, seen);
        }
        m_received.set_value(seen);
    }

    static void count(std::string_view bytes, received_body& seen) {
        seen.bytes += bytes.size();
        seen.foreign_bytes += bytes.size() - static_cast<std::size_t>(std::ranges::count(bytes, 'a'));
    }

    std::promise<void> m_reads_on;
    std::promise<received_body> m_received;
    testing_support::loopback_server m_server;
};

http_request request_with(char content, std::size_t bytes) {
    http_request request;
    request.method = http_method::post;
    request.target = "/";
    request.body = std::string(bytes, content);
    return request;
}

/** Guards against a connection that is used again while its request is still being written: the server reads
 * the next request, or freed memory, as the rest of the first one's body. */
TEST(early_response, ends_the_connection_while_its_request_is_still_being_written) {
    early_server server{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"};
    worker_thread thread{"client", 8};
    std::promise<http_response> answered;
    std::promise<void> lost;
    std::unique_ptr<http_connection> connection;
    http_connection_events events;
    events.opened = [&] {
        connection->send(request_with('a', body_bytes), [&](http_response response) {
            if (!response.ends_connection) {
                connection->send(request_with('b', 1'000), [](const http_response&) {});
            }
            answered.set_value(std::move(response));
        });
    };
    events.lost = [&](connection_end) { lost.set_value(); };
    connection =
        std::make_unique<http_connection>(thread, server.address(), 10s, response_limit, std::move(events));
    thread.start();
    const http_response response = answered.get_future().get();
    EXPECT_EQ(response.status, 503U);
    EXPECT_TRUE(response.ends_connection);
    server.read_on();
    if (response.ends_connection) {
        lost.get_future().wait();
    }
    thread.try_post([&] { connection.reset(); });
    const received_body seen = server.received();
    EXPECT_EQ(seen.foreign_bytes, 0U);
    EXPECT_LT(seen.bytes, body_bytes);
    thread.stop();
}

/** A response that comes after the whole request leaves the connection open for the next one. */
TEST(early_response, after_the_whole_request_keeps_the_connection) {
    early_server server{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    worker_thread thread{"client", 8};
    std::promise<http_response> answered;
    std::unique_ptr<http_connection> connection;
    http_connection_events events;
    events.opened = [&] {
        connection->send(request_with('a', 100),
                         [&](http_response response) { answered.set_value(std::move(response)); });
    };
    connection =
        std::make_unique<http_connection>(thread, server.address(), 10s, response_limit, std::move(events));
    thread.start();
    EXPECT_FALSE(answered.get_future().get().ends_connection);
    server.read_on();
    thread.try_post([&] { connection.reset(); });
    EXPECT_EQ(server.received().bytes, 100U);
    thread.stop();
}

} // namespace
} // namespace tamarack
