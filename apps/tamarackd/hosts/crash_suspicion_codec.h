#pragma once

#include <tamarack_query/tamarack_query.h>

#include <json/value.h>

#include <cstdint>

namespace tamarack {

/** A crash suspicion received from another host. */
struct received_crash_suspicion {
    host_id from;
    std::uint64_t number = 0; ///< echoed in the confirmation
    broadcast_crash_suspicion suspicion;
};

/** @return the suspicion as JSON */
Json::Value encode_crash_suspicion(const broadcast_crash_suspicion& suspicion, const host_id& from,
                                   std::uint64_t number);

/** @return the suspicion, or `malformed` if a member is missing or has the wrong type */
outcome<received_crash_suspicion> decode_crash_suspicion(const Json::Value& json);

} // namespace tamarack
