#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack {

/** HTTP methods that this module distinguishes. */
enum class http_method {
    get,
    post,
    other,
};

/** Header fields in the order of the message. */
using http_fields = std::vector<std::pair<std::string, std::string>>;

/** @return the value of the first field of this name, compared case-insensitively, or an empty string */
std::string_view find_field(const http_fields& fields, std::string_view name);

/** An HTTP request. */
struct http_request {
    http_method method = http_method::get;
    std::string method_name; ///< as written in the message; takes precedence over `method` unless empty
    std::string target;      ///< path with query
    http_fields fields;
    std::string body;
    /** To be sent in place of `body` if set: messages to many targets share it. */
    std::shared_ptr<const std::string> shared_body{};
};

/** An HTTP response. */
struct http_response {
    unsigned status = 200;
    http_fields fields;
    std::string body;
    bool ends_connection = false;   ///< the connection can't carry another request
    bool followed_by_bytes = false; ///< received: further bytes arrived with it, which belong to no request
};

/** The parts of a request target. */
struct request_target {
    std::vector<std::string> path;                          ///< decoded segments
    std::vector<std::pair<std::string, std::string>> query; ///< decoded

    /** @return the value of a query parameter, or an empty string */
    std::string_view parameter(std::string_view name) const;
};

/** Splits and decodes a request target such as "/v1/entries?service=a%20b". */
request_target split_target(std::string_view target);

/** @return the text percent-encoded for use within a path segment or a query value */
std::string encode_component(std::string_view text);

} // namespace tamarack
