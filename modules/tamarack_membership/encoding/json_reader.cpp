#include "json_reader.h"

#include <utility>

namespace tamarack {

namespace {

const Json::Value& empty_list() {
    static const Json::Value list{Json::arrayValue};
    return list;
}

const Json::Value& empty_object() {
    static const Json::Value object{Json::objectValue};
    return object;
}

} // namespace

json_reader::json_reader(const Json::Value& object, std::string what)
    : m_object(object.isObject() ? object : empty_object()), m_what(std::move(what)) {
    if (!object.isObject()) {
        m_error = error{error_code::malformed, m_what + " is not an object"};
    }
}

const Json::Value& json_reader::member(const char* name) const {
    return m_object[name];
}

std::string json_reader::text(const char* name, std::size_t max_bytes) {
    const Json::Value& value = member(name);
    if (!value.isString() || value.asString().empty()) {
        fail(name, "must be a non-empty string");
        return {};
    }
    return optional_text(name, max_bytes);
}

std::string json_reader::optional_text(const char* name, std::size_t max_bytes) {
    const Json::Value& value = member(name);
    if (value.isNull()) {
        return {};
    }
    if (!value.isString() || value.asString().size() > max_bytes) {
        fail(name, "must be a string of at most " + std::to_string(max_bytes) + " bytes");
        return {};
    }
    return value.asString();
}

std::uint64_t json_reader::number(const char* name, std::uint64_t low, std::uint64_t high) {
    const Json::Value& value = member(name);
    if (!value.isUInt64() || value.asUInt64() < low || value.asUInt64() > high) {
        fail(name, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return value.asUInt64();
}

std::uint64_t json_reader::optional_number(const char* name, std::uint64_t absent, std::uint64_t high) {
    return member(name).isNull() ? absent : number(name, 0, high);
}

bool json_reader::optional_flag(const char* name) {
    const Json::Value& value = member(name);
    if (!value.isNull() && !value.isBool()) {
        fail(name, "must be true or false");
        return false;
    }
    return value.isBool() && value.asBool();
}

const Json::Value& json_reader::optional_list(const char* name, std::size_t max_count) {
    const Json::Value& value = member(name);
    if (value.isNull()) {
        return empty_list();
    }
    if (!value.isArray() || value.size() > max_count) {
        fail(name, "must be an array of size at most " + std::to_string(max_count));
        return empty_list();
    }
    return value;
}

const Json::Value& json_reader::object(const char* name) {
    const Json::Value& value = member(name);
    if (!value.isObject()) {
        fail(name, "must be an object");
        return empty_object();
    }
    return value;
}

void json_reader::fail(const char* name, const std::string& problem) {
    if (!m_error) {
        m_error = error{error_code::malformed, m_what + "." + name + " " + problem};
    }
}

void json_reader::fail_with(const error& nested_error) {
    if (!m_error) {
        m_error = nested_error;
    }
}

} // namespace tamarack
