#pragma once

#include <tamarack_base/tamarack_base.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/**
 * Reads and checks the members of one JSON object, and records the first error.
 *
 * After an error every member reads as its empty value, so that a decoder can read all members and check
 * for an error once.
 */
class json_reader {
public:
    /**
     * @param object  the value that should be a JSON object; must outlive the reader
     * @param what    name of the object in error messages
     */
    json_reader(const Json::Value& object, std::string what);

    /**
     * @return the string value of a member, with at most `max_bytes` bytes; otherwise empty, with an error
     * recorded
     */
    std::string text(const char* name, std::size_t max_bytes = max_name_bytes);
    /** @return the same as text(), but an absent member reads as empty */
    std::string optional_text(const char* name, std::size_t max_bytes = max_name_bytes);
    /** @return an integer from `low` to `high`; otherwise `low`, with an error recorded */
    std::uint64_t number(const char* name, std::uint64_t low, std::uint64_t high);
    /** @return the same as number(), but an absent member reads as `absent` */
    std::uint64_t optional_number(const char* name, std::uint64_t absent, std::uint64_t high);
    /** @return a boolean; an absent member reads as false */
    bool optional_flag(const char* name);
    /** @return an array with at most `max_count` items; an absent member reads as empty */
    const Json::Value& optional_list(const char* name, std::size_t max_count);
    /** @return a member that must be an object */
    const Json::Value& object(const char* name);

    /** @return the enumeration value with the member's name */
    template <typename Enum>
    Enum enum_value(const char* name, Enum fallback) {
        const std::string value_name = text(name);
        const auto found = from_name<Enum>(value_name);
        if (!found) {
            fail(name, "has an unknown value");
        }
        return found.value_or(fallback);
    }

    /** Records an error in a member, unless one is already recorded. */
    void fail(const char* name, const std::string& problem);
    /** Records the error of a nested decoder, unless one is already recorded. */
    void fail_with(const error& nested_error);

    bool good() const { return !m_error; }
    /** @return the first error; there must be one */
    error first_error() const { return *m_error; }

    static constexpr std::size_t max_name_bytes = 200;

private:
    const Json::Value& member(const char* name) const;

    const Json::Value& m_object;
    std::string m_what;
    std::optional<error> m_error;
};

} // namespace tamarack
