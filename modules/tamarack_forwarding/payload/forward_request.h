#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/** Number of a forwarded request within one host's process; never reused. */
using forward_number = std::uint64_t;

/** Named fields of a message, in order. */
using message_fields = std::vector<std::pair<std::string, std::string>>;

/** A message that is passed on unread; shared by all exchanges of one request. */
struct message_payload {
    std::string method;
    std::string target; ///< path with query
    message_fields fields;
    std::string body;
};

/** @return what tells requests of the same content apart from others: of method, target and body */
digest content_digest_of(const message_payload& payload);

/** A caller's request as an edge hands it to the engine. */
struct forward_request {
    forward_number number = 0;
    request_id id; ///< the caller's own; each attempt of a caller has another one
    std::string authority;
    std::string path; ///< without the query
    std::shared_ptr<const message_payload> payload;
    std::optional<duration> remaining_time; ///< how much longer the caller waits; absent when it did not say
};

} // namespace tamarack
