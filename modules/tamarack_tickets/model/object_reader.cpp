#include "object_reader.h"

#include <cmath>

namespace tamarack {

error error_of_faults(const ticket_faults& faults) {
    require_invariant(!faults.empty(), "an error lists at least one fault");
    std::string message;
    for (const auto& fault : faults) {
        message += message.empty() ? "" : "; ";
        message += fault.path.empty() ? fault.problem : fault.path + ": " + fault.problem;
    }
    return {error_code::malformed, std::move(message)};
}

object_reader::object_reader(const Json::Value& json, std::string path, ticket_faults& faults)
    : m_json(json), m_path(std::move(path)), m_faults(faults) {
    if (!json.isObject()) {
        m_faults.push_back({m_path, "must be an object"});
    }
}

std::string object_reader::text(const std::string& name, presence needed) {
    const Json::Value* value = find(name, needed);
    if (value == nullptr) {
        return {};
    }
    if (!value->isString()) {
        add_fault(name, "must be a string");
        return {};
    }
    return value->asString();
}

bool object_reader::flag(const std::string& name, bool fallback) {
    const Json::Value* value = find(name, presence::optional);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isBool()) {
        add_fault(name, "must be true or false");
        return fallback;
    }
    return value->asBool();
}

double object_reader::real(const std::string& name, double fallback) {
    const Json::Value* value = find(name, presence::optional);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isNumeric() || !std::isfinite(value->asDouble())) {
        add_fault(name, "must be a number");
        return fallback;
    }
    return value->asDouble();
}

std::uint64_t object_reader::number(const std::string& name, presence needed, std::uint64_t fallback,
                                    std::uint64_t max) {
    const Json::Value* value = find(name, needed);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isUInt64() || value->asUInt64() > max) {
        add_fault(name, "must be a whole number from 0 to " + std::to_string(max));
        return fallback;
    }
    return value->asUInt64();
}

std::uint32_t object_reader::small_number(const std::string& name, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(
        number(name, presence::optional, fallback, std::numeric_limits<std::uint32_t>::max()));
}

duration object_reader::milliseconds(const std::string& name, duration fallback) {
    const auto fallback_ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    const auto count = number(name, presence::optional, static_cast<std::uint64_t>(fallback_ms),
                              std::numeric_limits<std::uint32_t>::max());
    return std::chrono::milliseconds{count};
}

const Json::Value& object_reader::any(const std::string& name, presence needed) {
    const Json::Value* value = find(name, needed);
    return value == nullptr ? Json::Value::nullSingleton() : *value;
}

std::vector<std::string> object_reader::texts(const std::string& name) {
    std::vector<std::string> result;
    const Json::Value& list = array(name);
    for (Json::ArrayIndex index = 0; index < list.size(); ++index) {
        if (list[index].isString()) {
            result.push_back(list[index].asString());
        } else {
            add_fault(name + "[" + std::to_string(index) + "]", "must be a string");
        }
    }
    return result;
}

void object_reader::refuse_unknown() {
    if (!m_json.isObject()) {
        return;
    }
    for (const auto& name : m_json.getMemberNames()) {
        if (!m_read_members.contains(name)) {
            add_fault(name, "is not a known member");
        }
    }
}

void object_reader::add_fault(const std::string& name, std::string problem) {
    m_faults.push_back({path_of(name), std::move(problem)});
}

std::string object_reader::path_of(const std::string& name) const {
    return m_path.empty() ? name : m_path + "." + name;
}

const Json::Value* object_reader::find(const std::string& name, presence needed) {
    m_read_members.insert(name);
    const Json::Value* value =
        m_json.isObject() ? m_json.find(name.data(), name.data() + name.size()) : nullptr;
    if (value == nullptr && needed == presence::required && m_json.isObject()) {
        add_fault(name, "is missing");
    }
    return value;
}

const Json::Value& object_reader::array(const std::string& name) {
    const Json::Value* value = find(name, presence::optional);
    if (value == nullptr) {
        return Json::Value::nullSingleton();
    }
    if (!value->isArray()) {
        add_fault(name, "must be a list");
        return Json::Value::nullSingleton();
    }
    return *value;
}

} // namespace tamarack
