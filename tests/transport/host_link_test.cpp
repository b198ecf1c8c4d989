#include <utility>

#include "loopback_server.h"

#include <tamarack_transport/tamarack_transport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
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
    send_window window{1024};
    host_link link{sender, receiver.address(), window};
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
    send_window window{1024};
    host_link link{sender, receiver.address(), window, options};
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
    send_window window{1024};
    host_link link{sender, peer.address(), window};
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
    send_window window{1024};
    host_link link{sender, endpoint{"127.0.0.1:1"}, window, options};
    for (int value = 0; value < 5; ++value) {
        link.send("test.number", number(value));
    }
    EXPECT_EQ(link.counts().dropped, 3U);
}

/** @return whether a condition, which is checked on the thread, held within the time-out */
bool holds_soon(worker_thread& thread, const std::function<bool()>& condition) {
    const time_point deadline = steady_now() + test_timeout;
    while (steady_now() < deadline) {
        std::promise<bool> checked;
        thread.try_post([&] { checked.set_value(condition()); });
        if (checked.get_future().get()) {
            return true;
        }
        std::this_thread::yield();
    }
    return false;
}

/** Guards against a message for each request of a host that waits for a configuration. */
TEST(host_link, sends_only_the_latest_of_the_waiting_messages_with_a_shared_member) {
    receiving_host receiver{1};
    worker_thread sender{"sender", 64};
    send_window window{1024};
    host_link link{sender, receiver.address(), window};
    const auto text = std::make_shared<const std::string>(5'000, 'x');
    for (int value = 1; value <= 3; ++value) {
        link.send("test.number", number(value), {"configuration", text});
    }
    EXPECT_EQ(link.counts().dropped, 2U);
    receiver.start();
    sender.start();
    ASSERT_TRUE(receiver.wait_complete());
    EXPECT_TRUE(holds_soon(sender, [&] { return window.taken_bytes() == 0; }));
    sender.stop();
    receiver.thread().stop();
    EXPECT_EQ(receiver.received(), std::vector<int>{3});
}

/** Guards against a host that keeps old configurations for hosts that have ended. */
TEST(host_link, drops_a_message_with_a_shared_member_that_has_waited_too_long) {
    worker_thread sender{"sender", 64};
    host_link_options options;
    options.reconnect_delay = 1ms;
    options.shared_member_lifetime = 20ms;
    send_window window{1024};
    host_link link{sender, endpoint{"127.0.0.1:1"}, window, options};
    const auto text = std::make_shared<const std::string>("x");
    link.send("test.number", number(1), {"configuration", text});
    sender.start();
    EXPECT_TRUE(holds_soon(sender, [&] { return link.counts().dropped == 1; }));
    sender.stop();
    EXPECT_EQ(text.use_count(), 1);
}

/** Guards against a host that runs out of memory while it sends its configuration to hosts that don't read,
 * and against links that wait for space for ever. */
TEST(host_link, sends_shared_members_within_the_window) {
    constexpr std::size_t bytes = 16 * mebibyte; // more than the system buffers for these connections
    constexpr int receive_buffer_bytes = 64 * 1024;
    constexpr std::size_t hosts = 3;
    boost::asio::io_context context;
    std::vector<tcp::acceptor> silent_hosts;
    send_window window{bytes};
    worker_thread sender{"sender", 64};
    host_link_options options;
    options.shared_member_lifetime = test_timeout;
    std::vector<std::unique_ptr<host_link>> links;
    const auto text = std::make_shared<const std::string>(bytes, 'x');
    for (std::size_t host = 0; host < hosts; ++host) {
        tcp::acceptor& silent = silent_hosts.emplace_back(context, tcp::v4());
        silent.set_option(tcp::acceptor::receive_buffer_size{receive_buffer_bytes});
        silent.bind({boost::asio::ip::address_v4::loopback(), 0});
        silent.listen();
        const std::string port = std::to_string(silent.local_endpoint().port());
        links.push_back(std::make_unique<host_link>(sender, endpoint{"127.0.0.1:" + port}, window, options));
        links.back()->send("test.number", number(1), {"configuration", text});
        links.back()->send("test.number", number(2));
    }
    const auto is_sending = [](const auto& link) { return link->counts().messages > 1; };
    const auto has_sent = [](const auto& link) { return link->counts().messages > 0; };
    sender.start();
    EXPECT_TRUE(holds_soon(sender, [&] { return std::all_of(links.begin(), links.end(), has_sent); }));
    EXPECT_TRUE(
        holds_soon(sender, [&] { return std::count_if(links.begin(), links.end(), is_sending) == 1; }));
    for (std::size_t left = hosts; left > 0; --left) {
        EXPECT_TRUE(holds_soon(sender,
                               [&] {
                                   const auto sending = std::find_if(links.begin(), links.end(), is_sending);
                                   if (sending == links.end() || window.taken_bytes() != bytes) {
                                       return false;
                                   }
                                   links.erase(sending);
                                   return true;
                               }))
            << "with " << left << " hosts that don't read";
    }
    EXPECT_TRUE(holds_soon(sender, [&] { return window.taken_bytes() == 0; }));
    sender.stop();
}

TEST(send_window, sends_a_larger_message_alone) {
    send_window window{100};
    int ready = 0;
    EXPECT_TRUE(window.try_take(500, [] {}));
    EXPECT_FALSE(window.try_take(1, [&] { ++ready; }));
    window.release(500);
    EXPECT_EQ(ready, 1);
    EXPECT_TRUE(window.try_take(1, [] {}));
}

TEST(send_window, calls_who_waits_in_order_while_there_is_space) {
    send_window window{100};
    std::vector<int> called;
    ASSERT_TRUE(window.try_take(100, [] {}));
    for (int waiting = 0; waiting < 3; ++waiting) {
        window.try_take(50, [&, waiting] {
            called.push_back(waiting);
            window.try_take(50, [] {});
        });
    }
    window.release(100);
    EXPECT_EQ(called, (std::vector<int>{0, 1}));
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
