#include <utility>

#include "loopback_server.h"

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>

namespace tamarack {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t body_limit = 64 * kibibyte;
constexpr std::size_t max_written_bytes = 32 * mebibyte;
/** Maximum number of bytes in the kernel's socket buffers of both ends that the client has not read. */
constexpr std::size_t max_buffered_bytes = 16 * mebibyte;

/** Accepts one connection and writes a beginning, then one piece repeatedly, until the peer closes. */
class endless_server {
public:
    endless_server(std::string beginning, std::string piece)
        : m_server([this, beginning = std::move(beginning), piece = std::move(piece)](
                       tcp::acceptor& acceptor) { serve(acceptor, beginning, piece); }) {}

    endpoint address() const { return m_server.address(); }
    /** @return bytes written until the peer closed, or until max_written_bytes were reached */
    std::size_t written() const { return m_written; }

private:
    void serve(tcp::acceptor& acceptor, const std::string& beginning, const std::string& piece) {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code failure;
        m_written = boost::asio::write(socket, boost::asio::buffer(beginning), failure);
        while (!failure && m_written < max_written_bytes) {
            m_written += boost::asio::write(socket, boost::asio::buffer(piece), failure);
        }
    }

    std::atomic<std::size_t> m_written{0};
    testing_support::loopback_server m_server;
};

/** Sends a request and waits for the response or the loss of the connection. @return whether it was answered
 */
bool is_answered(const endpoint& address) {
    std::promise<bool> ended;
    worker_thread thread{"client", 8};
    std::unique_ptr<http_connection> connection;
    http_connection_events events;
    events.opened = [&] {
        http_request request;
        request.target = "/";
        connection->send(request, [&](const http_response&) { ended.set_value(true); });
    };
    events.lost = [&](connection_end) { ended.set_value(false); };
    connection = std::make_unique<http_connection>(thread, address, 10s, body_limit, std::move(events));
    thread.start();
    const bool answered = ended.get_future().get();
    thread.stop();
    return answered;
}

struct endless_case {
    const char* name;
    std::string beginning;
    std::string piece;
};

class endless_response : public ::testing::TestWithParam<endless_case> {};

/**
 * Guards against a peer that sends bytes without end which never make up a complete response: the client must
 * close the connection after a bounded number of bytes.
 */
TEST_P(endless_response, is_abandoned_after_a_bounded_number_of_bytes) {
    std::size_t written = 0;
    bool answered = true;
    {
        endless_server server{GetParam().beginning, GetParam().piece};
        answered = is_answered(server.address());
        written = 0;
        while (written != server.written()) {
            written = server.written();
            std::this_thread::yield();
        }
    }
    EXPECT_FALSE(answered);
    EXPECT_LT(written, max_buffered_bytes);
}

const std::string kilobyte(1'024, 'x');

INSTANTIATE_TEST_SUITE_P(
    kinds, endless_response,
    ::testing::Values(
        endless_case{"head_line", "HTTP/1.1 200 ", kilobyte},
        endless_case{"head_field", "HTTP/1.1 200 OK\r\nX-Long: ", kilobyte},
        endless_case{"head_fields", "HTTP/1.1 200 OK\r\n", "X-More: " + kilobyte + "\r\n"},
        endless_case{"body_until_close", "HTTP/1.1 200 OK\r\n\r\n", kilobyte},
        endless_case{"body_with_length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", kilobyte},
        endless_case{"body_with_unallocatable_length",
                     "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n" + kilobyte, kilobyte},
        endless_case{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "400\r\n" + kilobyte + "\r\n"},
        endless_case{"chunk_extensions",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", kilobyte},
        endless_case{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                     "X-More: " + kilobyte + "\r\n"},
        endless_case{"no_http", "", kilobyte}),
    [](const auto& information) { return std::string{information.param.name}; });

} // namespace
} // namespace tamarack
