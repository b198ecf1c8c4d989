#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** Header fields by name, in lower case. */
using header_fields = std::map<std::string, std::string>;

/** @return the value of a field, or an empty string */
inline std::string find_field(const header_fields& fields, const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

/** A request that a test program receives or sends. */
struct plain_request {
    std::string method = "GET";
    std::string path;
    header_fields fields;
    std::string body;
    std::uint64_t connection = 0; ///< number of the connection on which it arrived

    /** @return the value of a field, or an empty string */
    std::string field(const std::string& name) const { return find_field(fields, name); }
};

/** When a listener sends a response once more on its connection, and how much of it. */
enum class repetition {
    none,
    before_next_response, ///< whole, directly before the next response
    while_idle,           ///< whole, some milliseconds after the response, before the next request is read
    begun_while_idle,     ///< as above, but only its beginning, cut within the value of its first field
    after_next_request,   ///< whole, once the next request was read and some milliseconds before its response
};

/** A response that a test program sends or receives. */
struct plain_response {
    unsigned status = 200;
    header_fields fields;
    std::string body;
    repetition repeated = repetition::none;
    std::optional<unsigned> repeated_status{}; ///< status of the repetition, if it differs

    /** @return the value of a field, or an empty string */
    std::string field(const std::string& name) const { return find_field(fields, name); }
};

} // namespace tamarack::testing_support
