#include "assignment.h"

#include "../encoding/json_reader.h"

#include <limits>

namespace tamarack {

namespace {

constexpr std::size_t max_services = 10'000;
constexpr std::size_t max_hosts_of_service = 1'000;

void decode_service(json_reader& reader, const Json::Value& item, service_hosts& services) {
    json_reader service{item, "assignment.services"};
    const service_id id{service.text("service")};
    std::vector<host_id> hosts;
    for (const Json::Value& host : service.optional_list("hosts", max_hosts_of_service)) {
        if (!host.isString()) {
            service.fail("hosts", "must be strings");
            break;
        }
        hosts.emplace_back(host.asString());
    }
    if (!services.emplace(id, std::move(hosts)).second) {
        service.fail("service", "is listed twice");
    }
    if (!service.good()) {
        reader.fail_with(service.first_error());
    }
}

} // namespace

Json::Value encode_assignment(const assignment& value) {
    Json::Value json{Json::objectValue};
    json["epoch"] = Json::UInt64{value.epoch};
    Json::Value& services = json["services"] = Json::Value{Json::arrayValue};
    for (const auto& [service, hosts] : value.services) {
        Json::Value item;
        item["service"] = service.value();
        Json::Value& names = item["hosts"] = Json::Value{Json::arrayValue};
        for (const host_id& host : hosts) {
            names.append(host.value());
        }
        services.append(item);
    }
    return json;
}

outcome<assignment> decode_assignment(const Json::Value& json) {
    json_reader reader{json, "assignment"};
    assignment value;
    value.epoch = reader.number("epoch", 0, std::numeric_limits<std::uint64_t>::max());
    for (const Json::Value& item : reader.optional_list("services", max_services)) {
        decode_service(reader, item, value.services);
    }
    if (!reader.good()) {
        return reader.first_error();
    }
    return value;
}

} // namespace tamarack
