#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

constexpr time_point start{1h};

forwarding_view_pointer view_with_teams(std::vector<std::string> keys, bool is_public = false) {
    auto view = single_route_view(2);
    auto table = std::make_shared<route_table>(*view->routes);
    table->requires_keys = true;
    team holder;
    holder.name = "divers";
    holder.keys = std::move(keys);
    table->teams.push_back(holder);
    table->routes.front().is_public = is_public;
    view->routes = std::move(table);
    return view;
}

forward_request request_with_key(forward_number number, const std::string& key) {
    forward_request request = single_route_request(number);
    request.credentials = {credentials_state::key, key};
    return request;
}

forwarding_options options_with_lease() {
    forwarding_options options;
    options.keys_need_lease = true;
    return options;
}

/** An engine with connections to two targets, and a lease until start + 3 s. */
struct leased_engine {
    forwarding_engine engine{options_with_lease(), random_source{1}};
    std::vector<target_connection> connections;

    explicit leased_engine(bool connected = true) {
        engine.on_lease(start, start + 3s);
        const auto opened =
            all_of<open_target_connection>(engine.on_view(start, view_with_teams({"k1", "k2"})));
        for (const open_target_connection& open : opened) {
            connections.push_back(open.connection);
            if (connected) {
                engine.on_connected(start, open.connection);
            }
        }
    }
};

forward_answer only_answer(const forwarding_actions& actions) {
    const auto answers = all_of<deliver_answer>(actions);
    EXPECT_EQ(answers.size(), 1U);
    return answers.empty() ? forward_answer{} : answers.front().answer;
}

TEST(caller_keys, pass_the_team_on_and_not_the_identity_of_the_caller) {
    leased_engine world;
    const auto sent = all_of<send_target_exchange>(world.engine.on_request(start, request_with_key(1, "k2")));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().exchange.team, "divers");
    EXPECT_FALSE(sent.front().exchange.passes_identity);
}

TEST(caller_keys, are_not_looked_at_if_tickets_define_no_teams) {
    forwarding_engine engine{options_with_lease(), random_source{1}};
    const auto opened = all_of<open_target_connection>(engine.on_view(start, single_route_view(1)));
    engine.on_connected(start, opened.front().connection);
    const auto sent = all_of<send_target_exchange>(engine.on_request(start, request_with_key(1, "other")));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_TRUE(sent.front().exchange.passes_identity);
    EXPECT_EQ(sent.front().exchange.team, "");
}

/** Guards against requests that run although no ticket holds their key. */
TEST(caller_keys, that_are_unknown_or_missing_are_refused) {
    leased_engine world;
    const forward_answer unknown = only_answer(world.engine.on_request(start, request_with_key(1, "k3")));
    EXPECT_EQ(unknown.outcome, forward_outcome::unauthorized);
    const forward_answer missing = only_answer(world.engine.on_request(start, single_route_request(2)));
    EXPECT_EQ(missing.outcome, forward_outcome::unauthorized);
    forward_request several = single_route_request(3);
    several.credentials.state = credentials_state::malformed;
    EXPECT_EQ(only_answer(world.engine.on_request(start, several)).outcome, forward_outcome::malformed);
}

TEST(caller_keys, are_not_needed_on_public_routes) {
    forwarding_engine engine{options_with_lease(), random_source{1}};
    const auto opened = all_of<open_target_connection>(engine.on_view(start, view_with_teams({"k1"}, true)));
    engine.on_connected(start, opened.front().connection);
    const auto sent = all_of<send_target_exchange>(engine.on_request(start, request_with_key(1, "unknown")));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_FALSE(sent.front().exchange.passes_identity);
}

/** Failure pattern: this host is cut off from the control hosts, which may have removed the key. */
TEST(caller_keys, are_refused_as_not_run_without_a_lease) {
    leased_engine world;
    const forward_answer answer = only_answer(world.engine.on_request(start + 3s, request_with_key(1, "k1")));
    EXPECT_EQ(answer.outcome, forward_outcome::not_run);
    EXPECT_EQ(answer.reason, forward_reason::no_lease);
    EXPECT_GT(answer.retry_after, duration{0});
}

/** Failure pattern: the machine was suspended, so that the steady clock has not measured the lease's time. */
TEST(caller_keys, are_refused_after_a_suspension_that_outlasts_the_lease) {
    leased_engine world;
    world.engine.on_suspended(4s);
    const forward_answer answer =
        only_answer(world.engine.on_request(start + 1ms, request_with_key(1, "k1")));
    EXPECT_EQ(answer.reason, forward_reason::no_lease);
}

/** Failure pattern: the lease ends while the request waits for a connection. */
TEST(caller_keys, keep_a_waiting_request_from_being_sent_once_the_lease_has_ended) {
    leased_engine world{false};
    EXPECT_TRUE(
        all_of<deliver_answer>(world.engine.on_request(start + 2'900ms, request_with_key(1, "k1"))).empty());
    const forward_answer answer = only_answer(world.engine.on_timer(start + 3s));
    EXPECT_EQ(answer.outcome, forward_outcome::not_run);
    const auto actions = world.engine.on_connected(start + 3'001ms, world.connections.front());
    EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
}

/** Failure pattern: a ticket removes the key while the request waits for a connection. */
TEST(caller_keys, keep_a_waiting_request_from_being_sent_once_its_key_is_removed) {
    leased_engine world{false};
    world.engine.on_request(start + 1ms, request_with_key(1, "k1"));
    world.engine.on_request(start + 1ms, request_with_key(2, "k2"));
    const forward_answer answer = only_answer(world.engine.on_view(start + 2ms, view_with_teams({"k2"})));
    EXPECT_EQ(answer.number, 1U);
    EXPECT_EQ(answer.outcome, forward_outcome::not_run);
}

/** Failure pattern: the lease ends while a failed exchange could be retried. */
TEST(caller_keys, keep_a_failed_exchange_from_being_retried_once_the_lease_has_ended) {
    leased_engine world;
    const auto sent =
        all_of<send_target_exchange>(world.engine.on_request(start + 2'900ms, request_with_key(1, "k1")));
    ASSERT_EQ(sent.size(), 1U);
    const auto actions = world.engine.on_connection_lost(start + 3s, sent.front().connection);
    EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
    EXPECT_EQ(only_answer(actions).outcome, forward_outcome::unknown);
}

} // namespace
} // namespace tamarack
