#pragma once

#include <tamarack_base/tamarack_base.h>
#include <tamarack_teams/tamarack_teams.h>

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

/** A message that is forwarded without being interpreted; shared by all exchanges of one request. */
struct message_payload {
    std::string method;
    std::string target; ///< path with query
    message_fields fields;
    /** Fields that state who the caller is. They are passed on only if tickets define no teams. */
    message_fields identity_fields;
    std::string body;
};

/** @return digest over method, target and body; equal for requests of the same content */
digest content_digest_of(const message_payload& payload);

/** A caller's request as passed from an edge to the engine. */
struct forward_request {
    forward_number number = 0;
    request_id id; ///< chosen by the caller; each attempt has its own
    std::string authority;
    std::string path; ///< without the query
    std::shared_ptr<const message_payload> payload;
    caller_credentials credentials;
    std::optional<duration> remaining_time; ///< how much longer the caller waits, if stated
};

} // namespace tamarack
