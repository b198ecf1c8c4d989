#include <utility>

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {
namespace {

using boost::asio::ip::tcp;

constexpr duration test_timeout = 10s;
constexpr duration answer_delay = 200ms;

/** A server that echoes bodies, those sent to "/later" after a while, and never answers requests for
 * "/never". */
class echo_server {
public:
    explicit echo_server(http_server_limits limits = {})
        : m_thread("server", 64),
          m_server(m_thread, limits, [this](http_request request, const http_responder& respond) {
              return handle(std::move(request), respond);
          }) {
        const auto listening = m_server.listen(endpoint{"127.0.0.1:0"});
        m_address = value_of(listening);
        m_thread.start();
    }

    ~echo_server() { m_thread.stop(); }
    echo_server(const echo_server&) = delete;
    echo_server& operator=(const echo_server&) = delete;
    echo_server(echo_server&&) = delete;
    echo_server& operator=(echo_server&&) = delete;

    const endpoint& address() const { return m_address; }
    std::future<void> peer_disconnected() { return m_peer_disconnected.get_future(); }
    void stop_accepting() {
        std::promise<void> stopped;
        m_thread.try_post([&] {
            m_server.stop_accepting();
            stopped.set_value();
        });
        stopped.get_future().wait();
    }

    /** @return a future that is ready once all connections are closed */
    std::future<void> close_connections() {
        auto closed = std::make_shared<std::promise<void>>();
        m_thread.try_post([this, closed] { m_server.close_connections([closed] { closed->set_value(); }); });
        return closed->get_future();
    }

private:
    std::function<void()> handle(http_request request, const http_responder& respond) {
        if (request.target == "/never") {
            return [this] { m_peer_disconnected.set_value(); };
        }
        http_response response;
        response.body = std::move(request.body);
        if (request.target == "/later") {
            m_thread.run_at(steady_now() + answer_delay,
                            [respond, response = std::move(response)] { respond(response); });
            return [] {};
        }
        respond(std::move(response));
        return nullptr;
    }

    worker_thread m_thread;
    http_server m_server;
    endpoint m_address;
    std::promise<void> m_peer_disconnected;
};

/** A plain socket, to send bytes that no HTTP client would send. */
class raw_peer {
public:
    explicit raw_peer(const endpoint& address) : m_socket(m_context) {
        const std::string& text = address.value();
        const auto port = static_cast<unsigned short>(std::stoi(text.substr(text.rfind(':') + 1)));
        m_socket.connect(tcp::endpoint{boost::asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string& bytes) {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    void shut_down_sending() { m_socket.shutdown(tcp::socket::shutdown_send); }

    /** @return all bytes until the server closes the connection */
    std::string receive_all() {
        std::string received;
        boost::system::error_code end;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), end);
        return received;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

http_request post(std::string target, std::string body) {
    http_request request;
    request.method = http_method::post;
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

TEST(http_server, answers_a_request) {
    const echo_server server;
    const auto result = fetch_and_wait(server.address(), post("/echo", "hello"), test_timeout);
    ASSERT_TRUE(succeeded(result));
    EXPECT_EQ(value_of(result).status, 200U);
    EXPECT_EQ(value_of(result).body, "hello");
}

TEST(http_server, refuses_malformed_requests_without_disturbing_others) {
    const echo_server server;
    raw_peer peer{server.address()};
    peer.send("this is not HTTP\r\n\r\n");
    EXPECT_NE(peer.receive_all().find(" 400 "), std::string::npos);
    EXPECT_TRUE(succeeded(fetch_and_wait(server.address(), post("/echo", "still here"), test_timeout)));
}

TEST(http_server, refuses_oversized_headers_and_bodies) {
    http_server_limits limits;
    limits.header_bytes = 512;
    limits.body_bytes = 1'000;
    const echo_server server{limits};

    raw_peer header{server.address()};
    header.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n");
    EXPECT_NE(header.receive_all().find(" 431 "), std::string::npos);

    raw_peer body{server.address()};
    body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    EXPECT_NE(body.receive_all().find(" 413 "), std::string::npos);
}

TEST(http_server, closes_a_request_that_arrives_too_slowly) {
    http_server_limits limits;
    limits.receipt = 50ms;
    const echo_server server{limits};
    raw_peer peer{server.address()};
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_EQ(peer.receive_all(), "");
}

TEST(http_server, closes_a_header_that_arrives_too_slowly) {
    http_server_limits limits;
    limits.idle = 1h;
    limits.receipt = 50ms;
    const echo_server server{limits};
    raw_peer peer{server.address()};
    peer.send("POST / HTTP/1.1\r\nHo");
    EXPECT_EQ(peer.receive_all(), "");
}

TEST(http_server, closes_a_half_closed_incomplete_request) {
    const echo_server server;
    raw_peer peer{server.address()};
    peer.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    peer.shut_down_sending();
    const std::string received = peer.receive_all();
    EXPECT_TRUE(received.empty() || received.find(" 400 ") != std::string::npos) << received;
}

TEST(http_server, reports_a_peer_that_disconnects_before_the_response) {
    echo_server server;
    auto peer_disconnected = server.peer_disconnected();
    {
        raw_peer peer{server.address()};
        peer.send("POST /never HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    }
    EXPECT_EQ(peer_disconnected.wait_for(test_timeout), std::future_status::ready);
}

TEST(http_server, closes_connections_after_their_answer_once_it_stops_accepting) {
    echo_server server;
    raw_peer peer{server.address()};
    peer.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n");
    server.stop_accepting();
    peer.send("x");
    const std::string received = peer.receive_all();
    EXPECT_NE(received.find(" 200 "), std::string::npos);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

TEST(http_server, closes_idle_connections_at_once_and_busy_ones_after_their_response) {
    echo_server server;
    raw_peer idle{server.address()};
    raw_peer busy{server.address()};
    busy.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n");
    ASSERT_TRUE(succeeded(fetch_and_wait(server.address(), post("/echo", "read"), test_timeout)));
    auto closed = server.close_connections();
    EXPECT_EQ(idle.receive_all(), "");
    EXPECT_EQ(closed.wait_for(std::chrono::milliseconds{0}), std::future_status::timeout);
    busy.send("x");
    const std::string received = busy.receive_all();
    EXPECT_NE(received.find(" 200 "), std::string::npos);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_EQ(closed.wait_for(test_timeout), std::future_status::ready);
}

TEST(http_server, serves_pipelined_requests_in_order) {
    const echo_server server;
    raw_peer peer{server.address()};
    peer.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
              "POST /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
    const std::string received = peer.receive_all();
    const std::size_t first = received.find("one");
    ASSERT_NE(first, std::string::npos);
    EXPECT_NE(received.find("two", first), std::string::npos);
}

/** A caller may send its next request before it has the response to the previous one. */
TEST(http_server, answers_a_request_whose_successor_arrives_before_its_response) {
    const echo_server server;
    raw_peer peer{server.address()};
    peer.send("POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none");
    ASSERT_TRUE(succeeded(fetch_and_wait(server.address(), post("/echo", "read"), test_timeout)));
    peer.send("POST /later HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
    const std::string received = peer.receive_all();
    const std::size_t first = received.find("one");
    ASSERT_NE(first, std::string::npos);
    EXPECT_NE(received.find("two", first), std::string::npos);
}

/** Guards against a crowd that connects, sends nothing and locks out ordinary callers. */
TEST(http_server, gives_the_place_of_a_connection_that_was_never_used_to_a_new_one) {
    http_server_limits limits;
    limits.connections = 3;
    const echo_server server{limits};
    raw_peer used{server.address()};
    used.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n");
    raw_peer oldest{server.address()};
    const raw_peer newer{server.address()};
    const auto result = fetch_and_wait(server.address(), post("/echo", "ordinary"), test_timeout);
    ASSERT_TRUE(succeeded(result));
    EXPECT_EQ(value_of(result).body, "ordinary");
    EXPECT_EQ(oldest.receive_all(), "");
    used.send("x");
    used.shut_down_sending();
    EXPECT_NE(used.receive_all().find(" 200 "), std::string::npos);
}

/** Guards against ending a caller's request for a new connection. */
TEST(http_server, closes_a_new_connection_while_all_others_are_in_use) {
    http_server_limits limits;
    limits.connections = 1;
    const echo_server server{limits};
    raw_peer used{server.address()};
    used.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_FALSE(succeeded(fetch_and_wait(server.address(), post("/echo", "too many"), test_timeout)));
}

/** Guards against bodies that stop before their end and take the memory of later requests. */
TEST(http_server, answers_a_small_request_while_unfinished_bodies_hold_its_memory) {
    http_server_limits limits;
    limits.memory = 256 * kibibyte;
    const echo_server server{limits};
    std::vector<std::unique_ptr<raw_peer>> crowd;
    for (std::size_t sent = 0; sent < 4 * limits.memory; sent += 60'000) {
        crowd.push_back(std::make_unique<raw_peer>(server.address()));
        crowd.back()->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
                           std::string(60'000, 'x'));
        ASSERT_TRUE(succeeded(fetch_and_wait(server.address(), post("/echo", "ordinary"), test_timeout)));
    }
}

/** Guards against a refusal that doesn't say that the request has not run. */
TEST(http_server, refuses_a_body_that_does_not_fit_into_its_memory_as_not_run) {
    http_server_limits limits;
    limits.memory = 64 * kibibyte;
    const echo_server server{limits};
    raw_peer peer{server.address()};
    // The last byte makes the body's allocation grow beyond the limit. Unread bytes would reset the
    // connection.
    peer.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
              std::string(16 * kibibyte + 1, 'x'));
    const std::string received = peer.receive_all();
    EXPECT_NE(received.find(" 503 "), std::string::npos) << received;
    EXPECT_NE(received.find("Retry-After: "), std::string::npos) << received;
}

TEST(fetch, reports_an_address_where_nobody_listens) {
    const auto result = fetch_and_wait(endpoint{"127.0.0.1:1"}, post("/", ""), test_timeout);
    ASSERT_FALSE(succeeded(result));
    EXPECT_EQ(error_of(result).code, error_code::unavailable);
}

TEST(fetch, reports_a_malformed_address) {
    const auto result = fetch_and_wait(endpoint{"nowhere"}, post("/", ""), test_timeout);
    EXPECT_FALSE(succeeded(result));
}

TEST(fetch, reports_a_missing_answer_in_time) {
    echo_server server;
    const auto result = fetch_and_wait(server.address(), post("/never", ""), 50ms);
    ASSERT_FALSE(succeeded(result));
    EXPECT_EQ(error_of(result).code, error_code::timed_out);
}

TEST(split_target, decodes_path_and_query) {
    const request_target split = split_target("/v1/entries/a%20b?service=x%2Fy&empty");
    ASSERT_EQ(split.path.size(), 3U);
    EXPECT_EQ(split.path[2], "a b");
    EXPECT_EQ(split.parameter("service"), "x/y");
    EXPECT_EQ(split.parameter("empty"), "");
    EXPECT_EQ(encode_component("a b/c"), "a%20b%2Fc");
}

} // namespace
} // namespace tamarack
