#pragma once

#include "../state/log_types.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/**
 * Reads fields of one JSON object and remembers the first one that is missing or wrong.
 *
 * Ask for all fields, then whether a problem was met; the values are to be used only if there was none.
 */
class field_reader {
public:
    explicit field_reader(const Json::Value& object);

    std::uint64_t number(const char* name);
    bool flag(const char* name);
    std::string text(const char* name);
    /** Reads bytes as put by write_bytes. */
    std::string bytes(const char* name);
    member_id member(const char* name);
    std::vector<member_id> member_list(const char* name);
    log_position position(const char* name);
    /** @return the field if it is there and has the type wanted, else null with the problem noted */
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

/** Puts bytes into a field: as they are when all are ASCII, else under the name with "_base64" in base64. */
void write_bytes(Json::Value& object, const std::string& name, const std::string& bytes);

/** @return the value on one line */
std::string to_line(const Json::Value& json);
/** @return the value that a text holds */
outcome<Json::Value> parse_line(const std::string& text);

} // namespace tamarack
