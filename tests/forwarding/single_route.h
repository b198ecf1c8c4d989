#pragma once

#include <tamarack_forwarding/tamarack_forwarding.h>

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** @return a view with one route for all paths of "example" to one service of some targets, i-1 and on */
inline std::shared_ptr<forwarding_view> single_route_view(int targets) {
    auto table = std::make_shared<route_table>();
    route taken;
    taken.name = "fetch";
    taken.authority = "example";
    taken.prefix = "/";
    taken.services = {{service_id{"orders"}, 1}};
    taken.timeout = 2s;
    taken.objective = 500ms;
    taken.attempts = 2;
    table->routes.push_back(taken);
    routed_service orders;
    orders.id = service_id{"orders"};
    orders.connections = 40;
    table->services.push_back(orders);
    auto view = std::make_shared<forwarding_view>();
    view->ticket = ticket_number{1};
    view->routes = std::move(table);
    view->allowance = {1.0, time_point{}};
    for (int number = 1; number <= targets; ++number) {
        forwarding_target listed;
        listed.id = target_id{"i-" + std::to_string(number)};
        listed.service = service_id{"orders"};
        listed.address = endpoint{"10.0.0.1:" + std::to_string(number)};
        view->targets.push_back(listed);
    }
    return view;
}

/** @return a request on that route; all of them have the same content */
inline forward_request single_route_request(forward_number number) {
    forward_request request;
    request.number = number;
    request.id = request_id{"r" + std::to_string(number)};
    request.authority = "example";
    request.path = "/same";
    auto payload = std::make_shared<message_payload>();
    payload->target = request.path;
    request.payload = std::move(payload);
    return request;
}

/** @return the actions of one type, in order */
template <typename Action>
std::vector<Action> all_of(const forwarding_actions& actions) {
    std::vector<Action> found;
    for (const forwarding_action& action : actions) {
        if (const auto* item = std::get_if<Action>(&action)) {
            found.push_back(*item);
        }
    }
    return found;
}

} // namespace tamarack
