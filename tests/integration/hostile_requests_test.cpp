#include "cluster.h"

#include "support/net/raw_connection.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace tamarack::integration {
namespace {

using testing_support::raw_connection;

constexpr std::chrono::milliseconds answer_limit{20'000};
constexpr auto short_receipt = "[limits]\nheader_bytes = 4KiB\nbody_bytes = 16KiB\nrequest_receipt = 500ms\n";

unsigned status_of(const std::string& response) {
    return response.starts_with("HTTP/1.1 ") ? static_cast<unsigned>(std::stoul(response.substr(9, 3))) : 0U;
}

class hostile_requests : public ::testing::Test {
protected:
    hostile_requests() : m_running(options()) { m_running.start_serving(); }

    static cluster_options options() {
        cluster_options chosen;
        chosen.more_settings = short_receipt;
        return chosen;
    }

    /** Sends bytes to the callers' and the operators' address. @return both answers */
    std::vector<std::string> answers(const std::string& bytes) {
        std::vector<std::string> received;
        for (const std::string& address : {m_running.callers("host-a"), m_running.operators("host-a")}) {
            raw_connection connection{address};
            connection.send(bytes);
            received.push_back(connection.read_to_end(answer_limit));
            EXPECT_TRUE(connection.closed_by_peer()) << address;
        }
        return received;
    }

    cluster m_running;
};

TEST_F(hostile_requests, malformed_ones_get_a_4xx_and_are_closed) {
    for (const std::string& bytes :
         {std::string{"NOT HTTP AT ALL\r\n\r\n"}, std::string{"GET / HTTP/9.9\r\n\r\n"},
          std::string("\x16\x03\x01\x00\x00\r\n\r\n", 9)}) {
        for (const std::string& answer : answers(bytes)) {
            EXPECT_EQ(status_of(answer) / 100, 4U) << answer;
        }
    }
    m_running.wait_until_serving("host-a");
}

TEST_F(hostile_requests, oversized_ones_get_a_4xx_and_are_closed) {
    const std::string header =
        "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20'000, 'x') + "\r\n\r\n";
    const std::string body =
        "POST /v1/services/parts/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n";
    for (const std::string& bytes : {header, body}) {
        for (const std::string& answer : answers(bytes)) {
            EXPECT_EQ(status_of(answer) / 100, 4U) << answer;
        }
    }
    m_running.wait_until_serving("host-a");
}

TEST_F(hostile_requests, slow_ones_are_closed_and_disturb_nobody) {
    std::deque<raw_connection> slow;
    for (int number = 0; number < 50; ++number) {
        slow.emplace_back(m_running.callers("host-a")).send("POST /v1/services/parts/requests HTTP/1.1\r\n");
    }
    const auto response = m_running.query("host-a", "while others are slow");
    ASSERT_TRUE(response);
    EXPECT_EQ(to_json(response->body)["outcome"], "answered");
    for (raw_connection& connection : slow) {
        connection.read_to_end(answer_limit);
        EXPECT_TRUE(connection.closed_by_peer());
    }
}

TEST_F(hostile_requests, half_closed_ones_are_answered_or_closed) {
    raw_connection in_head{m_running.callers("host-a")};
    in_head.send("POST /v1/services/parts/requests HTTP/1.1\r\nHost");
    in_head.close_sending();
    in_head.read_to_end(answer_limit);
    EXPECT_TRUE(in_head.closed_by_peer());
    raw_connection whole{m_running.callers("host-a")};
    whole.send("GET /v1/entries?service=parts HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    whole.close_sending();
    const std::string answer = whole.read_to_end(answer_limit);
    EXPECT_TRUE(whole.closed_by_peer());
    EXPECT_TRUE(answer.empty() || status_of(answer) == 200U) << answer;
    m_running.wait_until_serving("host-a");
}

TEST_F(hostile_requests, bad_bodies_get_a_400_and_change_nothing) {
    for (const std::string& body :
         {std::string{"{"}, std::string{"[]"}, std::string(200, '['), std::string{R"({"request_id":7})"},
          std::string{R"({"request_id":"a","deadline_ms":-5})"},
          std::string{R"({"request_id":"a","least_coverage":2})"}}) {
        const std::string bytes =
            "POST /v1/services/parts/requests HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        raw_connection connection{m_running.callers("host-a")};
        connection.send(bytes);
        const std::string answer = connection.read_to_end(answer_limit);
        EXPECT_EQ(status_of(answer), 400U) << body << "\n" << answer;
    }
    m_running.wait_until_serving("host-a");
}

} // namespace
} // namespace tamarack::integration
