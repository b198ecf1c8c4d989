#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

constexpr time_point start{1h};

forwarding_view_pointer view_of_two_targets(bool takes_callers) {
    auto view = single_route_view(2);
    view->takes_callers = takes_callers;
    return view;
}

std::size_t count_opened(const forwarding_actions& actions) {
    return static_cast<std::size_t>(std::ranges::count_if(actions, [](const forwarding_action& action) {
        return std::holds_alternative<open_target_connection>(action);
    }));
}

/** Load pattern: targets close idle connections before these are used; opening them early is useless. */
TEST(standby, a_host_without_callers_opens_connections_only_for_arriving_requests) {
    forwarding_engine engine{{}, random_source{1}};
    EXPECT_EQ(count_opened(engine.on_view(start, view_of_two_targets(false))), 0U);
    EXPECT_EQ(count_opened(engine.on_request(start + 1ms, single_route_request(1))), 1U);
}

TEST(standby, a_host_with_callers_keeps_a_connection_to_each_target) {
    forwarding_engine engine{{}, random_source{1}};
    EXPECT_EQ(count_opened(engine.on_view(start, view_of_two_targets(true))), 2U);
}

/** Load pattern: connection attempts hang while the view changes or connections are lost every few ms. */
TEST(warm_connections, use_one_timer_while_connections_are_being_opened) {
    forwarding_options options;
    options.max_opening = 1;
    forwarding_engine engine{options, random_source{1}};
    for (int change = 0; change < 200; ++change) {
        const time_point now = start + change * 1ms;
        engine.on_timer(now);
        engine.on_view(now, single_route_view(3));
    }
    EXPECT_LE(engine.statistics().timers, 2U);
}

} // namespace
} // namespace tamarack
