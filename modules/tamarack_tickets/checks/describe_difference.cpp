#include "ticket_checks.h"

#include <string>

namespace tamarack {

namespace {

std::string label(const std::string& name) {
    return name;
}

template <typename Tag>
std::string label(const text_id<Tag>& id) {
    return id.value();
}

std::string label(const limits_key& key) {
    return key.second.empty() ? key.first.value() : key.first.value() + "/" + key.second.value();
}

template <typename Map>
void compare(const std::string& kind, const Map& before, const Map& after, std::vector<std::string>& lines) {
    for (const auto& [key, value] : before) {
        if (!after.contains(key)) {
            lines.push_back(kind + " " + label(key) + ": removed");
        }
    }
    for (const auto& [key, value] : after) {
        const auto old = before.find(key);
        if (old == before.end()) {
            lines.push_back(kind + " " + label(key) + ": added");
        } else if (!(old->second == value)) {
            lines.push_back(kind + " " + label(key) + ": changed");
        }
    }
}

std::map<std::string, route> routes_of(const configuration& value) {
    std::map<std::string, route> routes;
    if (value.routes) {
        for (const route& item : value.routes->routes) {
            routes.emplace(item.authority + item.prefix, item);
        }
    }
    return routes;
}

} // namespace

std::vector<std::string> describe_difference(const configuration& before, const configuration& after) {
    std::vector<std::string> lines;
    compare("service", before.services, after.services, lines);
    compare("limits", before.limits, after.limits, lines);
    compare("rule", before.rules, after.rules, lines);
    compare("host", before.hosts, after.hosts, lines);
    compare("route", routes_of(before), routes_of(after), lines);
    return lines;
}

} // namespace tamarack
