#include "route_checks.h"

#include "../model/object_reader.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t max_routes = 20'000;
constexpr std::size_t max_routed_services = 20'000;
constexpr std::size_t max_teams = 20'000;
/** Longer keys could not be sent within the default limit on a request's header. */
constexpr std::size_t max_key_bytes = 8'192;
constexpr double max_requests_per_second = 1e9;

std::string table_item_path(const std::string& list, std::size_t index) {
    return "routes." + list + "[" + std::to_string(index) + "]";
}

bool is_prefix(const std::string& prefix) {
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

void check_services_of(const std::string& path, const route& value, const std::set<service_id>& known,
                       fault_list& faults) {
    if (value.services.empty()) {
        faults.add(path + ".services", "must name a service");
    }
    if (value.destination == route_destination::service && value.services.size() > 1) {
        faults.add(path + ".services", "must name one service only");
    }
    std::uint64_t weights = 0;
    std::set<service_id> seen;
    for (const route_service& part : value.services) {
        weights += part.weight;
        if (!known.contains(part.service)) {
            faults.add(path + ".services", "names the unknown service " + part.service.value());
        }
        if (!seen.insert(part.service).second) {
            faults.add(path + ".services", "names " + part.service.value() + " twice");
        }
    }
    if (value.destination == route_destination::split && weights == 0) {
        faults.add(path + ".services", "must have weights that add up to more than 0");
    }
}

void check_route(const std::string& path, const route& value, const std::set<service_id>& known,
                 fault_list& faults) {
    if (value.authority.empty()) {
        faults.add(path + ".authority", "must not be empty");
    }
    if (!is_prefix(value.prefix)) {
        faults.add(path + ".prefix", "must begin and end with a slash");
    }
    faults.check_time(path + ".timeout_ms", value.timeout);
    if (value.attempts == 0) {
        faults.add(path + ".attempts", "must be 1 or more");
    }
    check_services_of(path, value, known, faults);
    if (value.destination == route_destination::shards) {
        faults.check_share(path + ".least_coverage", value.least_coverage, 0.0, 1.0);
    }
}

bool is_limit(double value) {
    return std::isfinite(value) && value >= 0.0 && value <= max_requests_per_second;
}

/** @return whether a key can be sent as a bearer token: visible ASCII characters only */
bool is_key(const std::string& key) {
    return !key.empty() && key.size() <= max_key_bytes &&
           std::all_of(key.begin(), key.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
}

/** Checks the teams. Faults name a key by its position, never by its text. */
void check_teams(const std::vector<team>& teams, fault_list& faults) {
    faults.check_count("routes.teams", teams.size(), 0, max_teams);
    std::set<std::string> names;
    std::map<std::string, std::size_t> team_of_key;
    for (std::size_t index = 0; index < teams.size(); ++index) {
        const team& value = teams[index];
        const std::string path = table_item_path("teams", index);
        if (value.name.empty()) {
            faults.add(path + ".name", "must not be empty");
        } else if (!names.insert(value.name).second) {
            faults.add(path + ".name", "is the name of another team too");
        }
        if (!is_limit(value.requests_per_second)) {
            faults.add(path + ".requests_per_second", "must be from 0 to 1000000000");
        }
        if (!is_limit(value.burst)) {
            faults.add(path + ".burst", "must be from 0 to 1000000000");
        }
        for (std::size_t key = 0; key < value.keys.size(); ++key) {
            const std::string key_path = path + ".keys[" + std::to_string(key) + "]";
            if (!is_key(value.keys[key])) {
                faults.add(key_path, "must be 1 to 8192 visible ASCII characters");
            } else if (team_of_key.emplace(value.keys[key], index).first->second != index) {
                faults.add(key_path, "is a key of another team too");
            }
        }
    }
}

} // namespace

void check_route_table(const route_table& table, fault_list& faults) {
    faults.check_count("routes.routes", table.routes.size(), 0, max_routes);
    faults.check_count("routes.services", table.services.size(), 0, max_routed_services);
    std::set<service_id> known;
    for (std::size_t index = 0; index < table.services.size(); ++index) {
        const service_id& id = table.services[index].id;
        faults.check_name(table_item_path("services", index) + ".service", id.value());
        if (!known.insert(id).second) {
            faults.add(table_item_path("services", index), "occurs twice");
        }
        if (!is_limit(table.services[index].warmup_requests_per_second)) {
            faults.add(table_item_path("services", index) + ".warmup_requests_per_second",
                       "must be from 0 to 1000000000");
        }
    }
    std::set<std::pair<std::string, std::string>> used_prefixes;
    for (std::size_t index = 0; index < table.routes.size(); ++index) {
        const route& value = table.routes[index];
        const std::string path = table_item_path("routes", index);
        check_route(path, value, known, faults);
        if (!used_prefixes.emplace(value.authority, value.prefix).second) {
            faults.add(path, "shares its authority and prefix with another route");
        }
    }
    check_teams(table.teams, faults);
}

} // namespace tamarack
