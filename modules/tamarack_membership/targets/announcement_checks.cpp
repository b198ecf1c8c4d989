#include "announcement_checks.h"

#include "announcement_bounds.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace tamarack {

namespace {

error malformed(const std::string& problem) {
    return error{error_code::malformed, problem};
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= announcement_bounds::name_bytes;
}

bool names_a_port(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    unsigned port = 0;
    const char* end = address.data() + address.size();
    const auto [stopped_at, problem] = std::from_chars(address.data() + colon + 1, end, port);
    return problem == std::errc{} && stopped_at == end && port > 0 && port <= 65'535;
}

outcome<done> check_form(const announcement& value) {
    const bool named = is_name(value.target.value()) && is_name(value.data_center.value()) &&
                       is_name(value.service.value()) &&
                       value.shard.value().size() <= announcement_bounds::name_bytes;
    if (!named) {
        return malformed("target, data_center and service must be names of at most " +
                         std::to_string(announcement_bounds::name_bytes) + " bytes");
    }
    if (value.incarnation.value == 0) {
        return malformed("life must be greater than zero");
    }
    if (!is_name(value.address.value()) || !names_a_port(value.address.value())) {
        return malformed("address must be an IP address and a port");
    }
    const auto is_count = [](std::uint32_t count, std::uint32_t least) {
        return count >= least && count <= announcement_bounds::count;
    };
    if (!is_count(value.slots, 1) || !is_count(value.connections, 1) || !is_count(value.replica, 0)) {
        return malformed("slots and connections must be from 1, replica from 0, to " +
                         std::to_string(announcement_bounds::count));
    }
    if (value.sequence > announcement_bounds::sequence) {
        return malformed("sequence must be at most " + std::to_string(announcement_bounds::sequence));
    }
    if (value.remaining_warmup < duration{0} || value.remaining_warmup > announcement_bounds::warmup) {
        return malformed("warmup_left_ms must be from 0 to " +
                         std::to_string(announcement_bounds::warmup / 1ms));
    }
    if (value.versions.size() > announcement_bounds::versions) {
        return malformed("at most " + std::to_string(announcement_bounds::versions) +
                         " versions may be announced");
    }
    return done{};
}

const shard_map* find_map(const service_definition& service, const std::string& name) {
    const auto found = std::find_if(service.maps.begin(), service.maps.end(),
                                    [&](const shard_map& map) { return map.name == name; });
    return found == service.maps.end() ? nullptr : &*found;
}

bool has_shard(const shard_map& map, const shard_id& shard) {
    return std::find(map.shards.begin(), map.shards.end(), shard) != map.shards.end();
}

outcome<done> check_versions(const announcement& value, const service_definition& service) {
    for (std::size_t index = 0; index < value.versions.size(); ++index) {
        const served_version& served = value.versions[index];
        const shard_map* map = find_map(service, served.map);
        if (served.version.empty() || map == nullptr) {
            return error{error_code::not_found,
                         "service " + service.id.value() + " has no map " + served.map};
        }
        if (!has_shard(*map, value.shard)) {
            return error{error_code::not_found, "map " + served.map + " has no shard " + value.shard.value()};
        }
        const auto repeated =
            std::count_if(value.versions.begin(), value.versions.end(),
                          [&](const auto& other) { return other.version == served.version; });
        if (repeated > 1) {
            return malformed("version " + served.version.value() + " is listed twice");
        }
    }
    return done{};
}

} // namespace

outcome<done> check_announcement(const announcement& value, const configuration& in_force) {
    outcome<done> form = check_form(value);
    if (!succeeded(form)) {
        return form;
    }
    const auto service = in_force.services.find(value.service);
    if (service == in_force.services.end()) {
        return error{error_code::not_found, "unknown service " + value.service.value()};
    }
    const auto& maps = service->second.maps;
    const bool known_shard = std::any_of(maps.begin(), maps.end(),
                                         [&](const shard_map& map) { return has_shard(map, value.shard); });
    if (!known_shard) {
        return error{error_code::not_found,
                     "service " + value.service.value() + " has no shard " + value.shard.value()};
    }
    return check_versions(value, service->second);
}

outcome<done> check_announcement_form(const announcement& value) {
    return check_form(value);
}

outcome<done> check_same_incarnation(const announcement& before, const announcement& after) {
    if (after.sequence <= before.sequence) {
        return error{error_code::stale,
                     "sequence must increase with each announcement within one incarnation"};
    }
    const bool same = after.address == before.address && after.data_center == before.data_center &&
                      after.service == before.service && after.shard == before.shard &&
                      after.replica == before.replica;
    if (!same) {
        return error{
            error_code::conflict,
            "address, data_center, service, shard and replica must not change within one incarnation"};
    }
    return done{};
}

} // namespace tamarack
