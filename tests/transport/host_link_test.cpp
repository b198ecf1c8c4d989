#include <utility>

#include "loopback_server.h"

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/read_until.hpp>
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

/** Receives notifications of one method and signals when the expected number has arrived. */
class receiving_host {
public:
    explicit receiving_host(std::size_t expected_count)
        : m_expected_count(expected_count), m_thread("receiver", 64),
          m_server(m_thread, {}, [this](const http_request& request, const http_responder& respond) {
              ++m_requests;
              if (m_silent_requests > 0) {
                  --m_silent_requests;
                  return std::function<void()>{};
              }
              http_response response;
              response.body = m_dispatcher.dispatch(request.body);
              respond(std::move(response));
              return std::function<void()>{};
          }) {
        m_dispatcher.on("test.number", [this](const Json::Value& parameters) {
            m_received.push_back(parameters["number"].asInt());
            if (m_received.size() == m_expected_count) {
                m_complete.set_value();
            }
        });
        m_address = value_of(m_server.listen(endpoint{"127.0.0.1:0"}));
    }

    ~receiving_host() { m_thread.stop(); }
    receiving_host(const receiving_host&) = delete;
    receiving_host& operator=(const receiving_host&) = delete;
    receiving_host(receiving_host&&) = delete;
    receiving_host& operator=(receiving_host&&) = delete;

    void leave_unanswered(int requests) { m_silent_requests = requests; }
    void start() { m_thread.start(); }
    worker_thread& thread() { return m_thread; }
    const endpoint& address() const { return m_address; }
    bool wait_complete() {
        return m_complete.get_future().wait_for(test_timeout) == std::future_status::ready;
    }
    const std::vector<int>& received() const { return m_received; }

private:
    std::size_t m_expected_count;
    worker_thread m_thread;
    host_dispatcher m_dispatcher;
    http_server m_server;
    endpoint m_address;
    std::vector<int> m_received;
    std::promise<void> m_complete;
    int m_requests = 0;
    int m_silent_requests = 0;
};

Json::Value number(int value) {
    Json::Value parameters;
    parameters["number"] = value;
    return parameters;
}

TEST(host_link, delivers_messages_in_order) {
    receiving_host receiver{500};
    worker_thread sender{"sender", 64};
    host_link link{sender, receiver.address()};
    std::vector<int> sent;
    for (int value = 0; value < 500; ++value) {
        link.send("test.number", number(value));
        sent.push_back(value);
    }
    receiver.start();
    sender.start();
    ASSERT_TRUE(receiver.wait_complete());
    sender.stop();
    receiver.thread().stop();
    EXPECT_EQ(receiver.received(), sent);
}

TEST(host_link, replaces_a_connection_without_responses) {
    receiving_host receiver{1};
    receiver.leave_unanswered(1);
    worker_thread sender{"sender", 64};
    host_link_options options;
    options.response_timeout = 20ms;
    options.reconnect_delay = 1ms;
    host_link link{sender, receiver.address(), options};
    link.send("test.number", number(1));
    sender.run_at(steady_now() + 100ms, [&] { link.send("test.number", number(2)); });
    receiver.start();
    sender.start();
    ASSERT_TRUE(receiver.wait_complete());
    sender.stop();
    receiver.thread().stop();
    EXPECT_EQ(receiver.received(), std::vector<int>{2});
    EXPECT_EQ(link.counts().failures, 1U);
}

/** Guards against a batch that is sent on a connection whose response has just ended it, and lost with it. */
TEST(host_link, takes_a_new_connection_after_a_response_that_ends_one) {
    std::promise<void> first_arrived;
    std::promise<void> second_queued;
    std::promise<std::string> second;
    testing_support::loopback_server peer{[&](tcp::acceptor& acceptor) {
        const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        for (const bool is_first : {true, false}) {
            tcp::socket socket = acceptor.accept();
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "}}]");
            if (is_first) {
                first_arrived.set_value();
                second_queued.get_future().wait();
            } else {
                second.set_value(request);
            }
            boost::asio::write(socket, boost::asio::buffer(response));
        }
    }};
    worker_thread sender{"sender", 64};
    host_link link{sender, peer.address()};
    link.send("test.number", number(1));
    sender.start();
    first_arrived.get_future().wait();
    sender.try_post([&] {
        link.send("test.number", number(2));
        second_queued.set_value();
    });
    EXPECT_NE(second.get_future().get().find(R"("number":2)"), std::string::npos);
    sender.stop();
    EXPECT_EQ(link.counts().failures, 0U);
}

TEST(host_link, drops_the_oldest_message_when_the_queue_is_full) {
    worker_thread sender{"sender", 64};
    host_link_options options;
    options.max_queued_messages = 2;
    host_link link{sender, endpoint{"127.0.0.1:1"}, options};
    for (int value = 0; value < 5; ++value) {
        link.send("test.number", number(value));
    }
    EXPECT_EQ(link.counts().dropped, 3U);
}

TEST(host_dispatcher, answers_malformed_text_with_an_error) {
    host_dispatcher dispatcher;
    EXPECT_NE(dispatcher.dispatch("{ not json").find("error"), std::string::npos);
    EXPECT_NE(dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"no.such","id":1})").find("error"),
              std::string::npos);
}

TEST(worker_thread, rejects_work_when_the_queue_is_full) {
    worker_thread thread{"busy", 2};
    EXPECT_TRUE(thread.try_post([] {}));
    EXPECT_TRUE(thread.try_post([] {}));
    EXPECT_FALSE(thread.try_post([] {}));
}

} // namespace
} // namespace tamarack
