#include "ticket_codec.h"

#include "object_codec.h"
#include "route_codec.h"

namespace tamarack {

namespace {

template <typename Items, typename Encode>
Json::Value encode_values(const Items& items, Encode encode) {
    Json::Value list{Json::arrayValue};
    for (const auto& [key, item] : items) {
        list.append(encode(item));
    }
    return list;
}

} // namespace

Json::Value encode_configuration(const configuration& value) {
    Json::Value json{Json::objectValue};
    json["number"] = Json::Value::UInt64{value.number.value};
    json["content"] = value.content.hex();
    json["services"] = encode_values(value.services, encode_service);
    json["limits"] = encode_values(value.limits, encode_limits);
    json["rules"] = encode_values(value.rules, encode_rule);
    json["hosts"] = encode_values(value.hosts, encode_host_order);
    if (value.routes) {
        json["routes"] = encode_route_table(*value.routes);
    }
    return json;
}

outcome<configuration> decode_configuration(const Json::Value& json) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    configuration value;
    value.number = ticket_number{reader.number("number")};
    value.content = digest{reader.text("content")};
    for (auto& service : reader.objects<service_definition>("services", read_service)) {
        const service_id key = service.id;
        value.services.insert_or_assign(key, std::move(service));
    }
    for (auto& limits : reader.objects<replica_limits>("limits", read_limits)) {
        const limits_key key{limits.service, limits.shard};
        value.limits.insert_or_assign(key, std::move(limits));
    }
    for (auto& rule : reader.objects<routing_rule>("rules", read_rule)) {
        const std::string key = rule.name;
        value.rules.insert_or_assign(key, std::move(rule));
    }
    for (auto& order : reader.objects<host_order>("hosts", read_host_order)) {
        const host_id key = order.host;
        value.hosts.insert_or_assign(key, std::move(order));
    }
    if (const Json::Value& routes = reader.any("routes", presence::optional); !routes.isNull()) {
        object_reader table{routes, "routes", faults};
        value.routes = read_route_table(table);
    }
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

} // namespace tamarack
