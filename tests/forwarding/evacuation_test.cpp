#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {
namespace {

constexpr time_point start{1h};
const data_center_id north{"north"};
const data_center_id south{"south"};

/** An engine with the targets i-1 in the north and i-2 in the south, whose exchanges the test answers. */
struct evacuation : ::testing::Test {
    forwarding_engine m_engine{own_options(), random_source{1}};
    time_point m_now = start;
    std::vector<std::pair<target_connection, std::string>> m_opening; ///< with the target
    std::vector<target_connection> m_closed;
    std::vector<send_target_exchange> m_sent;
    std::vector<forward_answer> m_answers;

    static forwarding_options own_options() {
        forwarding_options options;
        options.host = host_id{"host-a"};
        options.data_center = north;
        return options;
    }
    void carry_out(forwarding_actions actions) {
        for (forwarding_action& action : actions) {
            if (const auto* open = std::get_if<open_target_connection>(&action)) {
                m_opening.emplace_back(open->connection, open->target.value());
            } else if (const auto* close = std::get_if<close_target_connection>(&action)) {
                m_closed.push_back(close->connection);
            } else if (const auto* send = std::get_if<send_target_exchange>(&action)) {
                m_sent.push_back(*send);
            } else if (auto* delivered = std::get_if<deliver_answer>(&action)) {
                m_answers.push_back(std::move(delivered->answer));
            }
        }
    }
    void evacuate(std::vector<data_center_id> data_centers, bool known = true) {
        auto view = single_route_view(2);
        view->targets[0].data_center = north;
        view->targets[1].data_center = south;
        view->evacuated = std::move(data_centers);
        view->evacuations_known = known;
        m_engine.on_lease(m_now, time_point::max());
        carry_out(m_engine.on_view(m_now, view));
    }
    /** Completes the connection attempts to a target. */
    void connect(const std::string& target) {
        for (const auto& [connection, to] : std::exchange(m_opening, {})) {
            if (to == target) {
                carry_out(m_engine.on_connected(m_now, connection));
            } else {
                m_opening.emplace_back(connection, to);
            }
        }
    }
    void connect_all() {
        connect("i-1");
        connect("i-2");
    }
    void request(forward_number number) {
        carry_out(m_engine.on_request(m_now, single_route_request(number)));
    }
    void reply(const send_target_exchange& sent, target_verdict verdict) {
        target_reply answer;
        answer.verdict = verdict;
        answer.status = verdict == target_verdict::completed ? 200 : 500;
        answer.keeps_connection = true;
        carry_out(m_engine.on_reply(m_now, sent.connection, std::move(answer)));
    }
    /** Lets all timers of a period run. */
    void pass(duration time) {
        const time_point end = m_now + time;
        while (m_engine.next_timer() <= end) {
            m_now = std::max(m_now, m_engine.next_timer());
            carry_out(m_engine.on_timer(m_now));
        }
        m_now = end;
    }
    bool is_closed(target_connection connection) const {
        return std::ranges::find(m_closed, connection) != m_closed.end();
    }
    std::size_t sent_to(const std::string& target) const {
        return static_cast<std::size_t>(std::ranges::count_if(m_sent, [&](const send_target_exchange& sent) {
            return sent.exchange.target.value() == target;
        }));
    }
};

TEST_F(evacuation, lets_running_exchanges_finish_and_closes_their_connection) {
    evacuate({});
    connect_all();
    request(1);
    ASSERT_EQ(sent_to("i-1"), 1U) << "the near target is preferred";
    const send_target_exchange running = m_sent.front();
    evacuate({north});
    EXPECT_FALSE(is_closed(running.connection));
    EXPECT_TRUE(m_answers.empty());
    m_now += 10ms;
    reply(running, target_verdict::completed);
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers.front().outcome, forward_outcome::replied);
    EXPECT_TRUE(is_closed(running.connection));
}

TEST_F(evacuation, closes_idle_connections_and_opens_none) {
    evacuate({});
    const auto opened = m_opening;
    connect_all();
    evacuate({south});
    pass(5s);
    connect_all();
    for (const auto& [connection, target] : opened) {
        EXPECT_EQ(is_closed(connection), target == "i-2") << target;
    }
    for (const auto& [connection, target] : m_opening) {
        EXPECT_NE(target, "i-2");
    }
}

TEST_F(evacuation, sends_waiting_requests_elsewhere) {
    evacuate({});
    request(1);
    evacuate({north});
    connect("i-1");
    EXPECT_TRUE(m_sent.empty());
    connect("i-2");
    EXPECT_EQ(sent_to("i-2"), 1U);
}

TEST_F(evacuation, refuses_waiting_and_new_requests_as_not_run_if_no_target_is_left) {
    evacuate({});
    request(1);
    evacuate({north, south});
    ASSERT_EQ(m_answers.size(), 1U) << "at once, not at the deadline";
    EXPECT_EQ(m_answers.front().outcome, forward_outcome::not_run);
    request(2);
    ASSERT_EQ(m_answers.size(), 2U);
    EXPECT_EQ(m_answers.back().outcome, forward_outcome::not_run);
    connect_all();
    EXPECT_TRUE(m_sent.empty());
}

TEST_F(evacuation, keeps_retries_away) {
    for (const bool evacuated : {false, true}) {
        SCOPED_TRACE(evacuated);
        evacuate({});
        connect_all();
        m_sent.clear();
        request(evacuated ? 2 : 1);
        ASSERT_EQ(m_sent.size(), 1U);
        const send_target_exchange first = m_sent.front();
        const data_center_id other = first.exchange.target.value() == "i-1" ? south : north;
        if (evacuated) {
            evacuate({other});
        }
        m_now += 5ms;
        reply(first, target_verdict::not_run);
        EXPECT_EQ(m_sent.size(), evacuated ? 1U : 2U);
        if (!evacuated) {
            reply(m_sent.back(), target_verdict::completed);
        }
    }
}

TEST_F(evacuation, keeps_hedges_away) {
    for (const bool evacuated : {false, true}) {
        SCOPED_TRACE(evacuated);
        evacuate({});
        connect_all();
        m_sent.clear();
        request(evacuated ? 2 : 1);
        ASSERT_EQ(m_sent.size(), 1U);
        const data_center_id other = m_sent.front().exchange.target.value() == "i-1" ? south : north;
        if (evacuated) {
            evacuate({other});
        }
        pass(400ms);
        connect_all();
        EXPECT_EQ(m_sent.size(), evacuated ? 1U : 2U) << "the request is hedged within its objective";
        for (const send_target_exchange& sent : std::vector{m_sent}) {
            reply(sent, target_verdict::completed);
        }
    }
}

TEST_F(evacuation, ends_with_the_withdrawal_of_the_order) {
    evacuate({north});
    connect_all();
    request(1);
    EXPECT_EQ(sent_to("i-2"), 1U);
    evacuate({});
    connect_all();
    request(2);
    EXPECT_EQ(sent_to("i-1"), 1U);
}

/** Guards against exchanges to evacuated targets from hosts that have just started. */
TEST_F(evacuation, orders_that_are_not_known_yet_keep_a_host_from_sending) {
    evacuate({}, false);
    connect_all();
    request(1);
    EXPECT_TRUE(m_sent.empty());
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers.front().outcome, forward_outcome::not_run);
    EXPECT_EQ(m_answers.front().reason, forward_reason::no_lease);
    EXPECT_GT(m_answers.front().retry_after, duration{0});
    evacuate({north});
    request(2);
    EXPECT_EQ(m_sent.size(), sent_to("i-2"));
    EXPECT_EQ(m_sent.size(), 1U);
}

} // namespace
} // namespace tamarack
