#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** An engine whose exchanges are answered by the test. */
struct repeated_request : ::testing::Test {
    forwarding_engine m_engine{options_of("host-a"), random_source{1}};
    std::vector<target_connection> m_opening;
    std::vector<target_connection> m_closed;
    std::vector<send_target_exchange> m_sent;
    std::vector<forward_answer> m_answers;

    static forwarding_options options_of(const std::string& host) {
        forwarding_options options;
        options.host = host_id{host};
        return options;
    }
    void carry_out(forwarding_actions actions) {
        for (forwarding_action& action : actions) {
            if (const auto* open = std::get_if<open_target_connection>(&action)) {
                m_opening.push_back(open->connection);
            } else if (const auto* close = std::get_if<close_target_connection>(&action)) {
                m_closed.push_back(close->connection);
            } else if (const auto* send = std::get_if<send_target_exchange>(&action)) {
                m_sent.push_back(*send);
            } else if (auto* delivered = std::get_if<deliver_answer>(&action)) {
                m_answers.push_back(std::move(delivered->answer));
            }
        }
    }
    void use(const std::shared_ptr<forwarding_view>& view) {
        m_engine.on_lease(start, time_point::max());
        carry_out(m_engine.on_view(start, view));
        connect_all();
    }
    void connect_all() {
        for (const target_connection connection : std::exchange(m_opening, {})) {
            carry_out(m_engine.on_connected(start, connection));
        }
    }
    void reply(std::size_t exchange, target_verdict verdict, const target_reply& stated = {}) {
        target_reply answer = stated;
        answer.verdict = verdict;
        answer.status = verdict == target_verdict::completed ? 200 : 500;
        carry_out(m_engine.on_reply(start + 10ms, m_sent.at(exchange).connection, std::move(answer)));
    }
    std::vector<std::string> targets_of(const std::string& request) const {
        std::vector<std::string> targets;
        for (const send_target_exchange& sent : m_sent) {
            if (sent.exchange.id.value() == request) {
                targets.push_back(sent.exchange.target.value());
            }
        }
        return targets;
    }
    void expect_sent_to_distinct_targets(const std::string& request) const {
        std::vector<std::string> targets = targets_of(request);
        std::sort(targets.begin(), targets.end());
        EXPECT_EQ(std::adjacent_find(targets.begin(), targets.end()), targets.end()) << "sent twice";
    }
};

/** Guards against a retry that waits for a connection and goes back to the target that failed, on the same
 * connection, once the other target has left. A second reply of that target to the first exchange, with the
 * same id, would pass for the reply to the retry. */
TEST_F(repeated_request, is_not_sent_to_the_same_target_when_the_other_one_leaves) {
    use(single_route_view(2));
    carry_out(m_engine.on_request(start, single_route_request(1)));
    ASSERT_EQ(m_sent.size(), 1U);
    const std::string first = m_sent[0].exchange.target.value();
    // The other target's only connection is taken by a second request.
    carry_out(m_engine.on_request(start, single_route_request(2)));
    ASSERT_EQ(m_sent.size(), 2U);
    ASSERT_NE(m_sent[1].exchange.target.value(), first);
    reply(0, target_verdict::failed);
    ASSERT_EQ(targets_of("r1").size(), 1U) << "the retry waits for a connection";
    ASSERT_TRUE(m_answers.empty());
    auto without_other = std::make_shared<forwarding_view>(*single_route_view(2));
    std::erase_if(without_other->targets,
                  [&](const forwarding_target& listed) { return listed.id.value() != first; });
    use(without_other);
    expect_sent_to_distinct_targets("r1");
    ASSERT_EQ(m_answers.size(), 1U) << "it can't be served any more, so it is answered at once";
    EXPECT_EQ(m_answers[0].outcome, forward_outcome::replied);
    EXPECT_EQ(m_answers[0].reply->status, 500U);
}

/** Guards against a retry that goes back to the target that failed because the other one states a limit that
 * allows an exchange a moment later. */
TEST_F(repeated_request, is_not_sent_to_the_same_target_when_the_other_one_has_a_request_limit) {
    const auto view = single_route_view(2);
    view->limit_hosts = std::make_shared<const std::vector<host_id>>(std::vector{host_id{"host-a"}});
    use(view);
    for (forward_number number = 1; number <= 2; ++number) {
        carry_out(m_engine.on_request(start, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 2U);
    const std::string limited = m_sent[1].exchange.target.value();
    ASSERT_NE(m_sent[0].exchange.target.value(), limited);
    target_reply limit;
    limit.request_limit = 20.0;
    reply(1, target_verdict::completed, limit);
    connect_all();
    reply(0, target_verdict::failed);
    connect_all();
    expect_sent_to_distinct_targets("r1");
    carry_out(m_engine.on_timer(start + 200ms));
    expect_sent_to_distinct_targets("r1");
    EXPECT_EQ(targets_of("r1").size(), 2U) << "the retry goes to the other target once its limit allows";
}

/** Guards against a retry that goes back to the process that failed because that left the view for a moment.
 */
TEST_F(repeated_request, is_not_sent_to_the_same_target_when_that_has_left_and_returned) {
    use(single_route_view(2));
    for (forward_number number = 1; number <= 2; ++number) {
        carry_out(m_engine.on_request(start, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 2U);
    const std::string first = m_sent[0].exchange.target.value();
    auto without_first = std::make_shared<forwarding_view>(*single_route_view(2));
    std::erase_if(without_first->targets,
                  [&](const forwarding_target& listed) { return listed.id.value() == first; });
    use(without_first);
    use(single_route_view(2));
    reply(0, target_verdict::failed);
    connect_all();
    expect_sent_to_distinct_targets("r1");
    reply(1, target_verdict::completed);
    EXPECT_EQ(targets_of("r1").size(), 2U);
    expect_sent_to_distinct_targets("r1");
}

/** Guards against the same with a target that was removed since another one answered at its address, and that
 * the view still lists. */
TEST_F(repeated_request,
       is_not_sent_to_the_same_target_when_that_has_answered_wrong_target_and_is_still_listed) {
    use(single_route_view(2));
    for (forward_number number = 1; number <= 2; ++number) {
        carry_out(m_engine.on_request(start + 10ms, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 2U);
    reply(0, target_verdict::wrong_target);
    ASSERT_EQ(targets_of("r1").size(), 1U) << "the retry waits for a connection";
    use(single_route_view(2));
    expect_sent_to_distinct_targets("r1");
}

/** Guards against a retry that waits for a connection and is given up because its target asks for a short
 * pause, although a request that was not sent yet would wait for the end of that pause. */
TEST_F(repeated_request, waits_for_a_short_backoff_of_the_other_target) {
    use(single_route_view(2));
    for (forward_number number = 1; number <= 2; ++number) {
        carry_out(m_engine.on_request(start + 10ms, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 2U);
    reply(0, target_verdict::failed);
    ASSERT_EQ(targets_of("r1").size(), 1U) << "the retry waits for a connection";
    target_reply backoff;
    backoff.backoff = 20ms;
    reply(1, target_verdict::not_run, backoff);
    connect_all();
    for (int step = 1; step <= 20; ++step) {
        carry_out(m_engine.on_timer(start + 10ms + step * 10ms));
        connect_all();
    }
    EXPECT_EQ(targets_of("r1").size(), 2U) << "the other target could be sent it 20 ms later";
    expect_sent_to_distinct_targets("r1");
}

/** Guards against a retry that waits for one target and holds up requests that another target could serve. */
TEST_F(repeated_request, that_waits_for_one_target_holds_up_no_request_that_another_can_serve) {
    use(single_route_view(2));
    for (forward_number number = 1; number <= 2; ++number) {
        carry_out(m_engine.on_request(start, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 2U);
    reply(0, target_verdict::failed);
    for (forward_number number = 3; number <= 4; ++number) {
        carry_out(m_engine.on_request(start + 11ms, single_route_request(number)));
    }
    ASSERT_EQ(m_sent.size(), 3U)
        << "the third request takes the connection that is free, the fourth one waits";
    reply(2, target_verdict::completed);
    EXPECT_EQ(targets_of("r4").size(), 1U);
    EXPECT_EQ(targets_of("r1").size(), 1U) << "the other target is still busy";
}

/** Guards against a request that its caller sends again under the same id, and that goes out on the
 * connection that carried it before. */
TEST_F(repeated_request, with_the_id_of_the_last_exchange_is_not_sent_on_its_connection) {
    use(single_route_view(1));
    carry_out(m_engine.on_request(start, single_route_request(1)));
    ASSERT_EQ(m_sent.size(), 1U);
    reply(0, target_verdict::failed);
    ASSERT_EQ(m_answers.size(), 1U);
    forward_request again = single_route_request(2);
    again.id = request_id{"r1"};
    carry_out(m_engine.on_request(start + 20ms, std::move(again)));
    connect_all();
    ASSERT_EQ(m_sent.size(), 2U);
    EXPECT_NE(m_sent[1].connection, m_sent[0].connection);
    EXPECT_EQ(m_closed, std::vector<target_connection>{m_sent[0].connection});
}

} // namespace
} // namespace tamarack
