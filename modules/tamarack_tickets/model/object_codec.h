#pragma once

#include "object_reader.h"
#include "ticket.h"

#include <json/value.h>

namespace tamarack {

/** JSON codecs of the objects in tickets and configurations. Internal to the module. */
Json::Value encode_service(const service_definition& value);
service_definition read_service(object_reader& reader);

Json::Value encode_limits(const replica_limits& value);
replica_limits read_limits(object_reader& reader);

Json::Value encode_rule(const routing_rule& value);
routing_rule read_rule(object_reader& reader);

Json::Value encode_host_order(const host_order& value);
host_order read_host_order(object_reader& reader);

Json::Value encode_limits_key(const limits_key& value);
limits_key read_limits_key(object_reader& reader);

/** @return the ids as a JSON array, in the given order */
template <typename Id>
Json::Value encode_ids(const std::vector<Id>& ids) {
    Json::Value list{Json::arrayValue};
    for (const auto& id : ids) {
        list.append(id.value());
    }
    return list;
}

} // namespace tamarack
