#pragma once

#include "announcement.h"

#include <json/value.h>

namespace tamarack {

/** @return the announcement as JSON, as documented in docs/PROTOCOL.md */
Json::Value encode_announcement(const announcement& value);

/** @return the announcement, or an error that describes the problem in the JSON */
outcome<announcement> decode_announcement(const Json::Value& json);

/** @return the heartbeat as JSON */
Json::Value encode_heartbeat(const target_heartbeat& value);

/** @return the heartbeat, or an error that describes the problem in the JSON */
outcome<target_heartbeat> decode_heartbeat(const Json::Value& json);

} // namespace tamarack
