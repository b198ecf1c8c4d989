#include "single_route.h"

#include <gtest/gtest.h>

#include <optional>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** An engine with an open connection to each target of a route whose requests must not run twice. */
struct once_engine {
    forwarding_engine engine{forwarding_options{}, random_source{1}};

    explicit once_engine(int targets) {
        auto view = single_route_view(targets);
        auto table = std::make_shared<route_table>(*view->routes);
        table->routes.front().repeats = repeatability::at_most_once;
        view->routes = std::move(table);
        engine.on_lease(start, time_point::max());
        for (const auto& open : all_of<open_target_connection>(engine.on_view(start, std::move(view)))) {
            engine.on_connected(start, open.connection);
        }
    }

    send_target_exchange send() {
        const auto sent =
            all_of<send_target_exchange>(engine.on_request(start + 1ms, single_route_request(1)));
        EXPECT_EQ(sent.size(), 1U);
        return sent.front();
    }
};

/** Guards against a 502 for a request that reached no target: its caller could not resend it. */
TEST(unsent_exchange, of_the_only_target_is_answered_as_not_run) {
    once_engine world{1};
    const auto actions =
        world.engine.on_connection_lost(start + 2ms, world.send().connection, "request_unsent", true);
    const auto answers = all_of<deliver_answer>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.outcome, forward_outcome::not_run);
    EXPECT_GT(answers.front().answer.retry_after, duration{0});
}

TEST(unsent_exchange, is_sent_to_another_target_although_the_request_must_not_run_twice) {
    once_engine world{2};
    const send_target_exchange first = world.send();
    const auto sent = all_of<send_target_exchange>(
        world.engine.on_connection_lost(start + 2ms, first.connection, "request_unsent", true));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_NE(sent.front().exchange.target, first.exchange.target);
}

/** Guards the promise of `not_run`: once bytes have left, the target may have run the request. */
TEST(unsent_exchange, does_not_include_one_whose_bytes_may_have_left) {
    once_engine world{2};
    const auto actions = world.engine.on_connection_lost(start + 2ms, world.send().connection, "failed");
    const auto answers = all_of<deliver_answer>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.outcome, forward_outcome::unknown);
}

/** Guards against `not_run` after a second exchange that may have run. */
TEST(unsent_exchange, leaves_a_request_unknown_whose_retry_may_have_run) {
    once_engine world{2};
    const auto sent = all_of<send_target_exchange>(
        world.engine.on_connection_lost(start + 2ms, world.send().connection, "request_unsent", true));
    ASSERT_EQ(sent.size(), 1U);
    const auto answers = all_of<deliver_answer>(
        world.engine.on_connection_lost(start + 3ms, sent.front().connection, "closed"));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.outcome, forward_outcome::unknown);
}

} // namespace
} // namespace tamarack
