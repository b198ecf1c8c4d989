#pragma once

#include "failure_detector.h"

#include <json/value.h>

namespace tamarack {

/**
 * @return the message as JSON: an object with "kind" and the members of the message; a larger number of
 * records is packed into "packed_news", the compressed text of write_updates()
 * @see membership_message
 */
Json::Value encode_membership_message(const membership_message& message);

/**
 * @return the message, or an error that describes the problem in the JSON; a list that is longer than any
 * sender writes is an error, too
 */
outcome<membership_message> decode_membership_message(const Json::Value& json);

/** @return a host's record as JSON */
Json::Value encode_host_record(const host_record& record);
/** @return the record, or an error that describes the problem in the JSON */
outcome<host_record> decode_host_record(const Json::Value& json);

/** @return a target's record as JSON, without its load */
Json::Value encode_target_record(const target_record& record);
/** @return the record, or an error that describes the problem in the JSON */
outcome<target_record> decode_target_record(const Json::Value& json);

} // namespace tamarack
