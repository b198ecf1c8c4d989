#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace tamarack::ctl {

/** @return the value, or std::nullopt if the text is not JSON */
std::optional<Json::Value> parse_json(const std::string& text);

/** @return the value as one line of JSON, with the line break */
std::string to_json_line(const Json::Value& value);

/** @return the value as indented, human-readable `name: value` lines */
std::string to_lines(const Json::Value& value);

} // namespace tamarack::ctl
