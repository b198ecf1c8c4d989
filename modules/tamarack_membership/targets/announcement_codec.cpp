#include "announcement_codec.h"

#include "announcement_bounds.h"

#include "../encoding/json_reader.h"

#include <limits>

namespace tamarack {

namespace {

constexpr std::uint64_t max_incarnation = std::numeric_limits<std::uint64_t>::max();

Json::Value encode_versions(const std::vector<served_version>& versions) {
    Json::Value list{Json::arrayValue};
    for (const served_version& served : versions) {
        Json::Value item;
        item["version"] = served.version.value();
        item["map"] = served.map;
        list.append(item);
    }
    return list;
}

std::vector<served_version> decode_versions(json_reader& reader) {
    std::vector<served_version> versions;
    for (const Json::Value& item : reader.optional_list("versions", announcement_bounds::versions)) {
        json_reader version{item, "announcement.versions"};
        versions.push_back({index_version{version.text("version")}, version.text("map")});
        if (!version.good()) {
            reader.fail_with(version.first_error());
        }
    }
    return versions;
}

reported_load decode_load(json_reader& reader, const Json::Value& json) {
    if (!json.isObject() || !json.isMember("load")) {
        return {};
    }
    json_reader load{json["load"], "announcement.load"};
    const reported_load decoded{
        static_cast<std::uint32_t>(load.optional_number("running", 0, announcement_bounds::count)),
        static_cast<std::uint32_t>(load.optional_number("queued", 0, announcement_bounds::count))};
    if (!load.good()) {
        reader.fail_with(load.first_error());
    }
    return decoded;
}

void encode_load(Json::Value& json, const reported_load& load) {
    if (load != reported_load{}) {
        json["load"]["running"] = load.running;
        json["load"]["queued"] = load.queued;
    }
}

} // namespace

Json::Value encode_announcement(const announcement& value) {
    Json::Value json{Json::objectValue};
    json["target"] = value.target.value();
    json["life"] = Json::UInt64{value.incarnation.value};
    json["sequence"] = Json::UInt64{value.sequence};
    json["address"] = value.address.value();
    json["data_center"] = value.data_center.value();
    json["service"] = value.service.value();
    json["shard"] = value.shard.value();
    json["replica"] = value.replica;
    json["versions"] = encode_versions(value.versions);
    json["slots"] = value.slots;
    json["connections"] = value.connections;
    json["state"] = std::string{to_name(value.state)};
    encode_load(json, value.load);
    if (value.remaining_warmup > duration{0}) {
        json["warmup_left_ms"] = Json::Int64{value.remaining_warmup / 1ms};
    }
    return json;
}

Json::Value encode_heartbeat(const target_heartbeat& value) {
    Json::Value json{Json::objectValue};
    json["target"] = value.target.value();
    json["life"] = Json::UInt64{value.incarnation.value};
    json["sequence"] = Json::UInt64{value.sequence};
    encode_load(json, value.load);
    return json;
}

outcome<target_heartbeat> decode_heartbeat(const Json::Value& json) {
    json_reader reader{json, "heartbeat"};
    target_heartbeat value;
    value.target = target_id{reader.text("target")};
    value.incarnation = incarnation_id{reader.number("life", 1, max_incarnation)};
    value.sequence = reader.number("sequence", 0, announcement_bounds::sequence);
    value.load = decode_load(reader, json);
    if (!reader.good()) {
        return reader.first_error();
    }
    return value;
}

outcome<announcement> decode_announcement(const Json::Value& json) {
    json_reader reader{json, "announcement"};
    announcement value;
    value.target = target_id{reader.text("target")};
    value.incarnation = incarnation_id{reader.number("life", 1, max_incarnation)};
    value.sequence = reader.number("sequence", 0, announcement_bounds::sequence);
    value.address = endpoint{reader.text("address")};
    value.data_center = data_center_id{reader.text("data_center")};
    value.service = service_id{reader.text("service")};
    value.shard = shard_id{reader.optional_text("shard")};
    value.replica = static_cast<std::uint32_t>(reader.number("replica", 0, announcement_bounds::count));
    value.versions = decode_versions(reader);
    value.slots = static_cast<std::uint32_t>(reader.number("slots", 0, announcement_bounds::count));
    value.connections =
        static_cast<std::uint32_t>(reader.number("connections", 0, announcement_bounds::count));
    value.state = reader.enum_value<target_state>("state", target_state::starting);
    value.load = decode_load(reader, json);
    value.remaining_warmup = std::chrono::milliseconds{
        reader.optional_number("warmup_left_ms", 0, announcement_bounds::warmup / 1ms)};
    if (!reader.good()) {
        return reader.first_error();
    }
    return value;
}

} // namespace tamarack
