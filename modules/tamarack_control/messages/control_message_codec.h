#pragma once

#include "control_message.h"

#include <json/value.h>

#include <memory>
#include <string>

namespace tamarack {

/** A message as JSON without the configuration that it holds: messages to many hosts share its text. */
struct control_message_parts {
    Json::Value members;              ///< an object with "kind" and the message's other members
    std::string configuration_member; ///< name of the member that holds the configuration
    std::shared_ptr<const std::string> configuration; ///< its value; null if the message holds none
};

/** @return the message in parts */
control_message_parts encode_control_message_parts(const control_message& message);

/** @return the message as JSON: an object with "kind" and the message's members */
Json::Value encode_control_message(const control_message& message);

/** @return the message, or what is wrong with the JSON */
outcome<control_message> decode_control_message(const Json::Value& json);

} // namespace tamarack
