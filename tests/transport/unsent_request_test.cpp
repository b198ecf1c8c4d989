#include "loopback_server.h"
#include "waiting_client.h"

#include <boost/asio/socket_base.hpp>
#include <gtest/gtest.h>

#include <future>
#include <optional>

namespace tamarack {
namespace {

using boost::asio::ip::tcp;
using testing_support::waiting_client;

/** How a server ends an idle connection. */
enum class idle_end { closed, reset };

/** @return the end of a connection that the server ended before a request was sent on it */
std::optional<connection_end> end_on_dead_connection(idle_end kind) {
    std::promise<void> opened;
    std::promise<void> ended;
    testing_support::loopback_server server{[&](tcp::acceptor& acceptor) {
        tcp::socket socket = acceptor.accept();
        opened.get_future().wait();
        if (kind == idle_end::reset) {
            socket.set_option(boost::asio::socket_base::linger{true, 0});
        }
        socket.close();
        ended.set_value();
    }};
    waiting_client client{server.address()};
    // The server ends the connection while the client's thread is busy, so that the client can't know it yet.
    const auto response = client.call([&] {
        opened.set_value();
        ended.get_future().wait();
    });
    EXPECT_FALSE(response);
    return client.end_within(waiting_client::event_limit);
}

/** Guards against a loss that is reported as possibly run although the connection was already dead. */
class unsent_request : public testing::TestWithParam<idle_end> {};

TEST_P(unsent_request, is_recognised_on_a_connection_that_the_server_has_ended) {
    constexpr int attempts = 10; // the system may deliver the end of a loopback connection with a delay
    bool recognised = false;
    for (int attempt = 0; attempt < attempts && !recognised; ++attempt) {
        recognised = end_on_dead_connection(GetParam()) == connection_end::request_unsent;
    }
    EXPECT_TRUE(recognised);
}

INSTANTIATE_TEST_SUITE_P(ends, unsent_request, testing::Values(idle_end::closed, idle_end::reset));

/** @return the end of a connection that the server resets once bytes of a request have arrived */
std::optional<connection_end> end_after_arrival(bool reads, std::size_t body_bytes) {
    testing_support::loopback_server server{[reads](tcp::acceptor& acceptor) {
        tcp::socket socket = acceptor.accept();
        socket.wait(tcp::socket::wait_read);
        EXPECT_TRUE(!reads || testing_support::read_request(socket));
        socket.set_option(boost::asio::socket_base::linger{true, 0});
    }};
    waiting_client client{server.address()};
    EXPECT_FALSE(client.call([] {}, body_bytes));
    return client.end_within(waiting_client::event_limit);
}

/** Guards against the opposite: a request of which the server has got bytes is reported as not sent. */
TEST(sent_request, is_never_reported_as_unsent) {
    constexpr std::size_t more_than_buffers_hold = 32 * mebibyte;
    for (const std::size_t body_bytes : {std::size_t{0}, more_than_buffers_hold}) {
        for (const bool reads : {false, true}) {
            const auto end = end_after_arrival(reads, body_bytes);
            ASSERT_TRUE(end);
            EXPECT_NE(*end, connection_end::request_unsent) << body_bytes << (reads ? " read" : " unread");
        }
    }
}

} // namespace
} // namespace tamarack
