#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

constexpr time_point start{1h};

forwarding_view_pointer view_of_two_targets(bool takes_callers) {
    auto table = std::make_shared<route_table>();
    route taken;
    taken.name = "fetch";
    taken.authority = "example";
    taken.prefix = "/fetch/";
    taken.services = {{service_id{"orders"}, 1}};
    taken.timeout = 1s;
    taken.objective = 100ms;
    taken.attempts = 2;
    table->routes.push_back(taken);
    routed_service orders;
    orders.id = service_id{"orders"};
    orders.connections = 40;
    table->services.push_back(orders);
    auto view = std::make_shared<forwarding_view>();
    view->ticket = ticket_number{1};
    view->routes = std::move(table);
    view->takes_callers = takes_callers;
    for (const char* id : {"i-1", "i-2"}) {
        forwarding_target target;
        target.id = target_id{id};
        target.service = service_id{"orders"};
        target.address = endpoint{std::string{"10.0.0.1:"} + id[2]};
        view->targets.push_back(target);
    }
    return view;
}

std::size_t count_opened(const forwarding_actions& actions) {
    return static_cast<std::size_t>(std::ranges::count_if(actions, [](const forwarding_action& action) {
        return std::holds_alternative<open_target_connection>(action);
    }));
}

forward_request request() {
    forward_request made;
    made.number = 1;
    made.id = request_id{"r1"};
    made.authority = "example";
    made.path = "/fetch/1";
    made.payload = std::make_shared<message_payload>();
    return made;
}

/** Load pattern: connections that are used less often than their targets close them are opened for nothing.
 */
TEST(standby, a_host_without_callers_opens_connections_only_for_requests_that_come_all_the_same) {
    forwarding_engine engine{{}, random_source{1}};
    EXPECT_EQ(count_opened(engine.on_view(start, view_of_two_targets(false))), 0U);
    EXPECT_EQ(count_opened(engine.on_request(start + 1ms, request())), 1U);
}

TEST(standby, a_host_with_callers_keeps_a_connection_to_each_target) {
    forwarding_engine engine{{}, random_source{1}};
    EXPECT_EQ(count_opened(engine.on_view(start, view_of_two_targets(true))), 2U);
}

} // namespace
} // namespace tamarack
