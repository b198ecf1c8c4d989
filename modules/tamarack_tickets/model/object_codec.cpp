#include "object_codec.h"

#include <string>

namespace tamarack {

namespace {

Json::Value encode_milliseconds(duration value) {
    return Json::Value::Int64{std::chrono::duration_cast<std::chrono::milliseconds>(value).count()};
}

Json::Value encode_map(const shard_map& value) {
    Json::Value json{Json::objectValue};
    json["name"] = value.name;
    json["shards"] = encode_ids(value.shards);
    return json;
}

shard_map read_map(object_reader& reader) {
    return {reader.text("name"), reader.ids<shard_id>("shards")};
}

Json::Value encode_objectives(const service_objectives& value) {
    Json::Value json{Json::objectValue};
    json["latency_ms"] = encode_milliseconds(value.latency);
    json["good_share"] = value.good_share;
    return json;
}

service_objectives read_objectives(object_reader& owner) {
    service_objectives value;
    const Json::Value& json = owner.any("objectives", presence::optional);
    if (json.isNull()) {
        return value;
    }
    object_reader reader{json, owner.path_of("objectives"), owner.faults()};
    value.latency = reader.milliseconds("latency_ms", value.latency);
    value.good_share = reader.real("good_share", value.good_share);
    reader.refuse_unknown();
    return value;
}

Json::Value encode_budgets(const service_budgets& value) {
    Json::Value json{Json::objectValue};
    json["extra_load"] = value.extra_load;
    json["queued_requests"] = value.queued_requests;
    json["running_requests"] = value.running_requests;
    return json;
}

service_budgets read_budgets(object_reader& owner) {
    service_budgets value;
    const Json::Value& json = owner.any("budgets", presence::optional);
    if (json.isNull()) {
        return value;
    }
    object_reader reader{json, owner.path_of("budgets"), owner.faults()};
    value.extra_load = reader.real("extra_load", value.extra_load);
    value.queued_requests = reader.small_number("queued_requests", value.queued_requests);
    value.running_requests = reader.small_number("running_requests", value.running_requests);
    reader.refuse_unknown();
    return value;
}

} // namespace

Json::Value encode_service(const service_definition& value) {
    Json::Value json{Json::objectValue};
    json["id"] = value.id.value();
    json["maps"] = Json::Value{Json::arrayValue};
    for (const auto& map : value.maps) {
        json["maps"].append(encode_map(map));
    }
    json["preference"] = std::string{to_name(value.preference)};
    json["least_coverage"] = value.least_coverage;
    json["default_deadline_ms"] = encode_milliseconds(value.default_deadline);
    json["entry_hosts"] = value.entry_hosts;
    json["objectives"] = encode_objectives(value.objectives);
    json["budgets"] = encode_budgets(value.budgets);
    return json;
}

service_definition read_service(object_reader& reader) {
    service_definition value;
    value.id = service_id{reader.text("id")};
    value.maps = reader.objects<shard_map>("maps", read_map);
    value.preference = reader.choice("preference", value.preference);
    value.least_coverage = reader.real("least_coverage", value.least_coverage);
    value.default_deadline = reader.milliseconds("default_deadline_ms", value.default_deadline);
    value.entry_hosts = reader.small_number("entry_hosts", value.entry_hosts);
    value.objectives = read_objectives(reader);
    value.budgets = read_budgets(reader);
    return value;
}

Json::Value encode_limits(const replica_limits& value) {
    Json::Value json{Json::objectValue};
    json["service"] = value.service.value();
    json["shard"] = value.shard.value();
    json["slots"] = value.slots;
    json["connections"] = value.connections;
    return json;
}

replica_limits read_limits(object_reader& reader) {
    replica_limits value;
    value.service = service_id{reader.text("service")};
    value.shard = shard_id{reader.text("shard", presence::optional)};
    value.slots = reader.small_number("slots", value.slots);
    value.connections = reader.small_number("connections", value.connections);
    return value;
}

Json::Value encode_rule(const routing_rule& value) {
    Json::Value json{Json::objectValue};
    json["name"] = value.name;
    json["service"] = value.service.value();
    json["from"] = value.from.value();
    json["prefer"] = encode_ids(value.prefer);
    return json;
}

routing_rule read_rule(object_reader& reader) {
    routing_rule value;
    value.name = reader.text("name");
    value.service = service_id{reader.text("service")};
    value.from = data_center_id{reader.text("from", presence::optional)};
    value.prefer = reader.ids<data_center_id>("prefer");
    return value;
}

Json::Value encode_host_order(const host_order& value) {
    Json::Value json{Json::objectValue};
    json["host"] = value.host.value();
    json["intent"] = std::string{to_name(value.intent)};
    return json;
}

host_order read_host_order(object_reader& reader) {
    host_order value;
    value.host = host_id{reader.text("host")};
    value.intent = reader.choice("intent", value.intent, presence::required);
    return value;
}

Json::Value encode_limits_key(const limits_key& value) {
    Json::Value json{Json::objectValue};
    json["service"] = value.first.value();
    json["shard"] = value.second.value();
    return json;
}

limits_key read_limits_key(object_reader& reader) {
    const service_id service{reader.text("service")};
    return {service, shard_id{reader.text("shard", presence::optional)}};
}

} // namespace tamarack
