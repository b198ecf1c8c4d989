#include "proxy_route.h"

#include "support/net/http_listener.h"

#include <boost/program_options.hpp>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::fault_proxy {

namespace {

using testing_support::plain_request;
using testing_support::plain_response;

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr int usage_error = 2;

/** Routes by name; `POST /routes/NAME` with a JSON object sets the faults of one. */
using route_map = std::map<std::string, std::unique_ptr<proxy_route>>;

void apply(const Json::Value& changes, proxy_route& route) {
    proxy_faults& faults = route.faults();
    faults.delay =
        std::chrono::milliseconds{changes.get("delay_ms", Json::Int64{faults.delay.count()}).asInt64()};
    faults.refuse = changes.get("refuse", faults.refuse).asBool();
    faults.swallow_new = changes.get("swallow_new", faults.swallow_new).asBool();
    faults.cut_requests = changes.get("cut_requests", faults.cut_requests).asBool();
    faults.cut_replies = changes.get("cut_replies", faults.cut_replies).asBool();
    if (changes["silence_open"].asBool()) {
        route.silence_open_connections();
    }
    if (changes["close_open"].asBool()) {
        route.close_open_connections();
    }
}

Json::Value describe(const proxy_route& route) {
    Json::Value value{Json::objectValue};
    value["address"] = route.address();
    value["open_connections"] = static_cast<Json::UInt64>(route.open_connections());
    return value;
}

plain_response handle(const route_map& routes, const plain_request& request) {
    constexpr std::string_view prefix = "/routes/";
    const bool has_prefix = request.path.starts_with(prefix);
    const auto found = has_prefix ? routes.find(request.path.substr(prefix.size())) : routes.end();
    if (found == routes.end()) {
        return {not_found, {}, "unknown route\n"};
    }
    Json::Value changes{Json::objectValue};
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    const std::string& body = request.body;
    if (!body.empty() &&
        (!reader->parse(body.data(), body.data() + body.size(), &changes, nullptr) || !changes.isObject())) {
        return {bad_request, {}, "not a JSON object\n"};
    }
    apply(changes, *found->second);
    return {200, {}, Json::writeString(Json::StreamWriterBuilder{}, describe(*found->second))};
}

/** Parses "NAME=LISTEN>SERVER" and adds the route. @return whether the text is well formed */
bool add_route(testing_support::event_loop& loop, const std::string& text, route_map& routes) {
    const std::size_t equals = text.find('=');
    const std::size_t arrow = text.find('>');
    if (equals == std::string::npos || arrow == std::string::npos || arrow < equals) {
        return false;
    }
    const std::string listen = text.substr(equals + 1, arrow - equals - 1);
    routes[text.substr(0, equals)] = std::make_unique<proxy_route>(loop, listen, text.substr(arrow + 1));
    return true;
}

int run(const std::vector<std::string>& route_arguments) {
    testing_support::event_loop loop;
    route_map routes;
    for (const std::string& text : route_arguments) {
        if (!add_route(loop, text, routes)) {
            std::cerr << "fault_proxy: invalid route, expected NAME=IP:PORT>IP:PORT: " << text << '\n';
            return usage_error;
        }
    }
    testing_support::http_listener control{
        loop, {}, [&routes](const plain_request& request, const testing_support::plain_responder& respond) {
            respond(handle(routes, request));
        }};
    std::cout << "listening control=" << control.listen("127.0.0.1", 0);
    for (const auto& [name, route] : routes) {
        std::cout << ' ' << name << '=' << route->address();
    }
    std::cout << std::endl;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

int read_and_run(int argument_count, const char* const* arguments) {
    namespace po = boost::program_options;
    std::vector<std::string> route_arguments;
    po::options_description description{"fault_proxy: forwards TCP connections and injects faults"};
    auto add = description.add_options();
    add("help", "print this help");
    add("route", po::value(&route_arguments)->composing()->required(),
        "NAME=LISTEN>SERVER, both ip:port; may be repeated; set faults with POST /routes/NAME");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argument_count, arguments, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error& failure) {
        std::cerr << "fault_proxy: " << failure.what() << '\n';
        return usage_error;
    }
    return run(route_arguments);
}

} // namespace

} // namespace tamarack::fault_proxy

int main(int argument_count, char** arguments) {
    try {
        return tamarack::fault_proxy::read_and_run(argument_count, arguments);
    } catch (const std::exception& failure) {
        std::cerr << "fault_proxy: " << failure.what() << '\n';
        return 1;
    }
}
