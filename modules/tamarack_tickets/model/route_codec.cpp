#include "route_codec.h"

namespace tamarack {

namespace {

Json::Value encode_time(duration value) {
    return Json::Value::Int64{std::chrono::duration_cast<std::chrono::milliseconds>(value).count()};
}

void encode_regions(const std::vector<std::string>& regions, Json::Value& json) {
    for (const std::string& region : regions) {
        json["regions"].append(region);
    }
}

Json::Value encode_route(const route& value) {
    Json::Value json{Json::objectValue};
    json["name"] = value.name;
    json["authority"] = value.authority;
    json["prefix"] = value.prefix;
    json["destination"] = std::string{to_name(value.destination)};
    Json::Value services{Json::arrayValue};
    for (const route_service& part : value.services) {
        Json::Value item{Json::objectValue};
        item["service"] = part.service.value();
        if (value.destination == route_destination::split) {
            item["weight"] = part.weight;
        }
        services.append(std::move(item));
    }
    json["services"] = std::move(services);
    json["repeats"] = std::string{to_name(value.repeats)};
    json["attempts"] = value.attempts;
    json["timeout_ms"] = encode_time(value.timeout);
    json["objective_ms"] = encode_time(value.objective);
    json["priority"] = value.priority;
    if (value.destination == route_destination::shards) {
        json["result_limit"] = value.result_limit;
        json["least_coverage"] = value.least_coverage;
    }
    // Members of newer releases are written only if they are used, so that older hosts can read the rest.
    if (value.is_public) {
        json["public"] = true;
    }
    encode_regions(value.regions, json);
    return json;
}

route_service read_route_service(object_reader& reader) {
    route_service value;
    value.service = service_id{reader.text("service")};
    value.weight = reader.small_number("weight", value.weight);
    return value;
}

route read_route(object_reader& reader) {
    route value;
    value.name = reader.text("name");
    value.authority = reader.text("authority");
    value.prefix = reader.text("prefix");
    value.destination = reader.choice("destination", value.destination, presence::required);
    value.services = reader.objects<route_service>("services", read_route_service);
    value.repeats = reader.choice("repeats", value.repeats);
    value.attempts = reader.small_number("attempts", value.attempts);
    value.timeout = reader.milliseconds("timeout_ms", value.timeout);
    value.objective = reader.milliseconds("objective_ms", value.objective);
    value.priority = reader.small_number("priority", value.priority);
    value.result_limit = reader.small_number("result_limit", value.result_limit);
    value.least_coverage = reader.real("least_coverage", value.least_coverage);
    value.is_public = reader.flag("public", value.is_public);
    value.regions = reader.texts("regions");
    return value;
}

Json::Value encode_routed_service(const routed_service& value) {
    Json::Value json{Json::objectValue};
    json["service"] = value.id.value();
    json["health_path"] = value.health_path;
    json["connections"] = value.connections;
    if (value.warmup_requests_per_second > 0.0) {
        json["warmup_requests_per_second"] = value.warmup_requests_per_second;
    }
    return json;
}

routed_service read_routed_service(object_reader& reader) {
    routed_service value;
    value.id = service_id{reader.text("service")};
    value.health_path = reader.text("health_path", presence::optional);
    value.connections = reader.small_number("connections", value.connections);
    value.warmup_requests_per_second =
        reader.real("warmup_requests_per_second", value.warmup_requests_per_second);
    return value;
}

Json::Value encode_team(const team& value) {
    Json::Value json{Json::objectValue};
    json["name"] = value.name;
    json["keys"] = Json::Value{Json::arrayValue};
    for (const std::string& key : value.keys) {
        json["keys"].append(key);
    }
    if (value.priority) {
        json["priority"] = *value.priority;
    }
    json["requests_per_second"] = value.requests_per_second;
    json["burst"] = value.burst;
    encode_regions(value.regions, json);
    return json;
}

team read_team(object_reader& reader) {
    team value;
    value.name = reader.text("name");
    value.keys = reader.texts("keys");
    if (!reader.any("priority", presence::optional).isNull()) {
        value.priority = reader.small_number("priority", 0);
    }
    value.requests_per_second = reader.real("requests_per_second", value.requests_per_second);
    value.burst = reader.real("burst", value.burst);
    value.regions = reader.texts("regions");
    return value;
}

Json::Value encode_caller_limits(const caller_limits& value) {
    Json::Value json{Json::objectValue};
    json["header_bytes"] = Json::Value::UInt64{value.header_bytes};
    json["body_bytes"] = Json::Value::UInt64{value.body_bytes};
    json["header_time_ms"] = encode_time(value.header_time);
    json["idle_time_ms"] = encode_time(value.idle_time);
    return json;
}

caller_limits read_caller_limits(object_reader& owner) {
    const Json::Value& json = owner.any("limits", presence::optional);
    if (json.isNull()) {
        return {};
    }
    object_reader reader{json, owner.path_of("limits"), owner.faults()};
    caller_limits value;
    value.header_bytes = reader.number("header_bytes", presence::optional);
    value.body_bytes = reader.number("body_bytes", presence::optional);
    value.header_time = reader.milliseconds("header_time_ms", value.header_time);
    value.idle_time = reader.milliseconds("idle_time_ms", value.idle_time);
    reader.refuse_unknown();
    return value;
}

} // namespace

Json::Value encode_route_table(const route_table& value) {
    Json::Value json{Json::objectValue};
    Json::Value routes{Json::arrayValue};
    for (const route& item : value.routes) {
        routes.append(encode_route(item));
    }
    json["routes"] = std::move(routes);
    Json::Value services{Json::arrayValue};
    for (const routed_service& item : value.services) {
        services.append(encode_routed_service(item));
    }
    json["services"] = std::move(services);
    json["limits"] = encode_caller_limits(value.limits);
    if (value.requires_keys) {
        json["teams"] = Json::Value{Json::arrayValue};
        for (const team& item : value.teams) {
            json["teams"].append(encode_team(item));
        }
    }
    if (!value.source.empty()) {
        json["source"] = value.source;
    }
    return json;
}

route_table read_route_table(object_reader& reader) {
    route_table value;
    value.routes = reader.objects<route>("routes", read_route);
    value.services = reader.objects<routed_service>("services", read_routed_service);
    value.limits = read_caller_limits(reader);
    value.requires_keys = !reader.any("teams", presence::optional).isNull();
    value.teams = reader.objects<team>("teams", read_team);
    value.source = reader.text("source", presence::optional);
    reader.refuse_unknown();
    return value;
}

} // namespace tamarack
