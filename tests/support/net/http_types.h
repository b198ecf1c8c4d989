#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tamarack::testing_support {

/** Header fields by name, in lower case. */
using header_fields = std::map<std::string, std::string>;

/** A request that a test program receives or sends. */
struct plain_request {
    std::string method = "GET";
    std::string path;
    header_fields fields;
    std::string body;
    std::uint64_t connection = 0; ///< number of the connection on which it arrived

    /** @return the value of a field, or an empty string */
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{} : found->second;
    }
};

/** A response that a test program sends or receives. */
struct plain_response {
    unsigned status = 200;
    header_fields fields;
    std::string body;
};

} // namespace tamarack::testing_support
