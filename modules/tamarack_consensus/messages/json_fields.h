#pragma once

#include "../state/log_types.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/**
 * Reads the fields of one JSON object and records the first one that is missing or invalid.
 *
 * Read all fields, then check for a problem; the values are valid only if there is none.
 */
class field_reader {
public:
    explicit field_reader(const Json::Value& object);

    std::uint64_t number(const char* name);
    bool flag(const char* name);
    std::string text(const char* name);
    /** Reads bytes written by write_bytes. */
    std::string bytes(const char* name);
    member_id member(const char* name);
    std::vector<member_id> member_list(const char* name);
    log_position position(const char* name);
    /** @return the field if it is present and has the given type, else null, with the problem recorded */
    const Json::Value& field(const char* name, Json::ValueType type);

    void record_problem(const std::string& problem);
    const std::optional<error>& problem() const { return m_problem; }

private:
    const Json::Value& m_object;
    std::optional<error> m_problem;
};

Json::Value encode_member(const member_id& member);
Json::Value encode_members(const log_members& members);
Json::Value encode_position(const log_position& position);
Json::Value encode_log_entry(const log_entry& entry);
outcome<member_id> decode_member(const Json::Value& json);
outcome<log_members> decode_members(const Json::Value& json);
outcome<log_entry> decode_log_entry(const Json::Value& json);

/**
 * Writes bytes to a field: unchanged if all are ASCII, else in base64 with "_base64" appended to the name.
 */
void write_bytes(Json::Value& object, const std::string& name, const std::string& bytes);

/** @return the value serialised on one line */
std::string to_line(const Json::Value& json);
/** @return the value parsed from a text, or what is wrong with it */
outcome<Json::Value> parse_line(const std::string& text);

} // namespace tamarack
