#pragma once

#include <tamarack_base/tamarack_base.h>

#include <json/value.h>

#include <string>

namespace tamarack {

/** @return the value as compact text on one line, with members sorted by name */
std::string write_json(const Json::Value& value);

/**
 * Parses strict JSON: no comments, no duplicate members, no trailing text, and a bounded nesting depth.
 *
 * @return the value, or what is wrong with the text
 */
outcome<Json::Value> read_json(const std::string& text);

} // namespace tamarack
