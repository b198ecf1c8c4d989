#include "ticket_codec.h"

#include "json_text.h"
#include "object_codec.h"
#include "route_codec.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t max_ticket_bytes = std::size_t{1024} * 1024;

ticket_removals read_removals(object_reader& owner) {
    const Json::Value& json = owner.any("removals", presence::optional);
    if (json.isNull()) {
        return {};
    }
    object_reader reader{json, owner.path_of("removals"), owner.faults()};
    ticket_removals value;
    value.services = reader.ids<service_id>("services");
    value.limits = reader.objects<limits_key>("limits", read_limits_key);
    value.rules = reader.texts("rules");
    value.hosts = reader.ids<host_id>("hosts");
    reader.refuse_unknown();
    return value;
}

std::optional<route_table> read_routes(object_reader& owner) {
    const Json::Value& json = owner.any("routes", presence::optional);
    if (json.isNull()) {
        return std::nullopt;
    }
    object_reader reader{json, owner.path_of("routes"), owner.faults()};
    return read_route_table(reader);
}

ticket read_ticket(object_reader& reader) {
    ticket value;
    value.number = ticket_number{reader.number("number")};
    value.author = reader.text("author", presence::optional);
    value.services = reader.objects<service_definition>("services", read_service);
    value.limits = reader.objects<replica_limits>("limits", read_limits);
    value.rules = reader.objects<routing_rule>("rules", read_rule);
    value.hosts = reader.objects<host_order>("hosts", read_host_order);
    value.routes = read_routes(reader);
    value.removals = read_removals(reader);
    reader.refuse_unknown();
    return value;
}

void sort_services(std::vector<service_definition>& services) {
    for (auto& service : services) {
        for (auto& map : service.maps) {
            std::sort(map.shards.begin(), map.shards.end());
        }
        std::sort(service.maps.begin(), service.maps.end(),
                  [](const auto& left, const auto& right) { return left.name < right.name; });
    }
    std::sort(services.begin(), services.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
}

ticket in_canonical_order(ticket value) {
    sort_services(value.services);
    std::sort(value.limits.begin(), value.limits.end(), [](const auto& left, const auto& right) {
        return limits_key{left.service, left.shard} < limits_key{right.service, right.shard};
    });
    std::sort(value.rules.begin(), value.rules.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    std::sort(value.hosts.begin(), value.hosts.end(),
              [](const auto& left, const auto& right) { return left.host < right.host; });
    std::sort(value.removals.services.begin(), value.removals.services.end());
    std::sort(value.removals.limits.begin(), value.removals.limits.end());
    std::sort(value.removals.rules.begin(), value.removals.rules.end());
    std::sort(value.removals.hosts.begin(), value.removals.hosts.end());
    return value;
}

template <typename Items, typename Encode>
Json::Value encode_list(const Items& items, Encode encode) {
    Json::Value list{Json::arrayValue};
    for (const auto& item : items) {
        list.append(encode(item));
    }
    return list;
}

Json::Value encode_removals(const ticket_removals& value) {
    Json::Value json{Json::objectValue};
    json["services"] = encode_ids(value.services);
    json["limits"] = encode_list(value.limits, encode_limits_key);
    json["rules"] = encode_list(value.rules, [](const std::string& name) { return Json::Value{name}; });
    json["hosts"] = encode_ids(value.hosts);
    return json;
}

} // namespace

std::variant<ticket, ticket_faults> parse_ticket(const std::string& text) {
    if (text.size() > max_ticket_bytes) {
        return ticket_faults{{"", "must have at most " + std::to_string(max_ticket_bytes) + " bytes"}};
    }
    const auto json = read_json(text);
    if (!succeeded(json)) {
        return ticket_faults{{"", "is not JSON: " + error_of(json).message}};
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    ticket value = read_ticket(reader);
    if (!faults.empty()) {
        return faults;
    }
    return value;
}

Json::Value encode_ticket(const ticket& value) {
    const ticket ordered = in_canonical_order(value);
    Json::Value json{Json::objectValue};
    json["number"] = Json::Value::UInt64{ordered.number.value};
    if (!ordered.author.empty()) {
        json["author"] = ordered.author;
    }
    json["services"] = encode_list(ordered.services, encode_service);
    json["limits"] = encode_list(ordered.limits, encode_limits);
    json["rules"] = encode_list(ordered.rules, encode_rule);
    json["hosts"] = encode_list(ordered.hosts, encode_host_order);
    if (ordered.routes) {
        json["routes"] = encode_route_table(*ordered.routes);
    }
    json["removals"] = encode_removals(ordered.removals);
    return json;
}

outcome<ticket> decode_ticket(const Json::Value& json) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    ticket value = read_ticket(reader);
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

std::string content_text_of(const ticket& value) {
    Json::Value json = encode_ticket(value);
    json.removeMember("author");
    return write_json(json);
}

digest digest_of_ticket(const ticket& value) {
    return digest_of(content_text_of(value));
}

} // namespace tamarack
