#include "single_route.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** An engine in contact with the server of team limits, whose one team is metered. */
struct metered_engine {
    forwarding_engine engine;
    team_number team = 0;

    metered_engine() : engine(options(), random_source{1}) {
        const auto view = view_with_team({"k1"});
        team = number_teams(view->routes->teams).front().team;
        engine.on_lease(start, start + 10s);
        const auto actions = engine.on_view(start, view);
        for (const open_target_connection& open : all_of<open_target_connection>(actions)) {
            engine.on_connected(start, open.connection);
        }
        const auto reports = all_of<report_team_use>(engine.on_timer(start + 1ms));
        const auto& first = reports.empty() ? all_of<report_team_use>(actions) : reports;
        EXPECT_EQ(first.size(), 1U);
        grant(start + 2ms, first.front().report.sequence, {});
    }

    static forwarding_options options() {
        forwarding_options wanted;
        wanted.host = host_id{"a"};
        wanted.keys_need_lease = true;
        return wanted;
    }
    static forwarding_view_pointer view_with_team(std::vector<std::string> keys) {
        auto view = single_route_view(2);
        auto table = std::make_shared<route_table>(*view->routes);
        table->requires_keys = true;
        tamarack::team limited;
        limited.name = "divers";
        limited.keys = std::move(keys);
        limited.requests_per_second = 7.0;
        limited.burst = 7.0;
        table->teams.push_back(limited);
        view->routes = std::move(table);
        view->limit_hosts = std::make_shared<const std::vector<host_id>>(1, host_id{"a"});
        return view;
    }
    forwarding_actions request(time_point at, forward_number number) {
        forward_request wanted = single_route_request(number);
        wanted.credentials = {credentials_state::key, "k1"};
        return engine.on_request(at, wanted);
    }
    forwarding_actions grant(time_point at, std::uint64_t sequence, std::vector<team_grant_item> items) {
        return engine.on_team_grant(at, {9, sequence, 500ms, std::move(items)});
    }
    /** Sends a request that waits. @return the number of the report that asks for its token */
    std::uint64_t waiting_request(time_point at) {
        const auto actions = request(at, 1);
        EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
        EXPECT_TRUE(all_of<deliver_answer>(actions).empty());
        EXPECT_EQ(engine.unanswered(), 1U);
        const auto asked = all_of<report_team_use>(actions);
        EXPECT_EQ(asked.size(), 1U);
        EXPECT_EQ(asked.front().report.items.front().wanted, 1U);
        return asked.front().report.sequence;
    }
};

/** Guards against requests that are sent without a token, and against a token that isn't used. */
TEST(team_admission, a_request_goes_on_with_a_token_and_is_timed_from_its_arrival) {
    metered_engine world;
    const auto sequence = world.waiting_request(start + 10ms);
    const auto actions = world.grant(start + 15ms, sequence, {{world.team, true, 1, 0ms}});
    const auto sent = all_of<send_target_exchange>(actions);
    ASSERT_EQ(sent.size(), 1U);
    const route& selected = single_route_view(2)->routes->routes.front();
    const request_times times = compute_request_times(selected, start + 10ms, std::nullopt);
    EXPECT_LE(sent.front().exchange.remaining_time, times.answer_deadline - (start + 15ms));
}

/** Guards against a refusal that doesn't say when the team's bucket has room. */
TEST(team_admission, a_request_without_a_token_is_refused_as_not_run) {
    metered_engine world;
    const auto sequence = world.waiting_request(start + 10ms);
    const auto answers =
        all_of<deliver_answer>(world.grant(start + 15ms, sequence, {{world.team, true, 0, 140ms}}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.outcome, forward_outcome::not_run);
    EXPECT_EQ(answers.front().answer.reason, forward_reason::team_limited);
    EXPECT_GE(answers.front().answer.retry_after, 140ms);
    const auto next = all_of<deliver_answer>(world.request(start + 20ms, 2));
    ASSERT_EQ(next.size(), 1U); // without asking again
    EXPECT_EQ(next.front().answer.reason, forward_reason::team_limited);
}

/** Guards against requests that wait for a server that doesn't answer, and against more admitted ones than
 * the tolerance of the limit allows meanwhile: half of 0.1 x (7 x 5 + 7) + 20. */
TEST(team_admission, a_request_waits_at_most_20_ms) {
    metered_engine world;
    constexpr forward_number within_tolerance = 12;
    for (forward_number number = 1; number <= within_tolerance + 1; ++number) {
        EXPECT_TRUE(all_of<deliver_answer>(world.request(start + 10ms, number)).empty());
    }
    EXPECT_LE(world.engine.next_timer(), start + 30ms);
    const auto actions = world.engine.on_timer(start + 30ms);
    EXPECT_FALSE(all_of<send_target_exchange>(actions).empty());
    std::vector<forward_number> refused;
    for (const deliver_answer& delivered : all_of<deliver_answer>(actions)) {
        if (delivered.answer.reason == forward_reason::team_limited) {
            refused.push_back(delivered.answer.number);
        }
    }
    EXPECT_EQ(refused, std::vector<forward_number>{within_tolerance + 1});
}

/** Guards against requests that are sent for a caller who has left while they waited. */
TEST(team_admission, a_caller_may_leave_while_its_request_waits) {
    metered_engine world;
    const auto sequence = world.waiting_request(start + 10ms);
    world.engine.on_caller_gone(start + 12ms, 1);
    const auto actions = world.grant(start + 15ms, sequence, {{world.team, true, 1, 0ms}});
    EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
    EXPECT_EQ(world.engine.unanswered(), 0U);
}

/** Guards against requests that run although their key was removed, or the lease ended, while they waited. */
TEST(team_admission, a_key_is_checked_again_after_the_wait) {
    metered_engine revoked;
    auto sequence = revoked.waiting_request(start + 10ms);
    revoked.engine.on_view(start + 12ms, metered_engine::view_with_team({"k2"}));
    auto actions = revoked.grant(start + 15ms, sequence, {{revoked.team, true, 1, 0ms}});
    EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
    ASSERT_EQ(all_of<deliver_answer>(actions).size(), 1U);
    EXPECT_EQ(all_of<deliver_answer>(actions).front().answer.reason, forward_reason::unknown_key);

    metered_engine without_lease;
    sequence = without_lease.waiting_request(start + 10ms);
    without_lease.engine.on_lease(start + 12ms, start + 12ms);
    actions = without_lease.grant(start + 15ms, sequence, {{without_lease.team, true, 1, 0ms}});
    EXPECT_TRUE(all_of<send_target_exchange>(actions).empty());
    ASSERT_EQ(all_of<deliver_answer>(actions).size(), 1U);
    EXPECT_EQ(all_of<deliver_answer>(actions).front().answer.reason, forward_reason::no_lease);
}

} // namespace
} // namespace tamarack
