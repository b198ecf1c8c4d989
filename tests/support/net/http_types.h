#pragma once

#include <cstdint>
#include <map>
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

/** A response that a test program sends or receives. */
struct plain_response {
    unsigned status = 200;
    header_fields fields;
    std::string body;
    bool sent_twice = false; ///< a listener sends it once more, before its next response on the connection

    /** @return the value of a field, or an empty string */
    std::string field(const std::string& name) const { return find_field(fields, name); }
};

} // namespace tamarack::testing_support
