#pragma once

#include <tamarack_query/tamarack_query.h>

#include <json/value.h>

#include <cstdint>

namespace tamarack {

/** A suspicion as another host told it. */
struct received_crash_suspicion {
    host_id from;
    std::uint64_t number = 0; ///< to be returned in the confirmation
    broadcast_crash_suspicion suspicion;
};

/** @return the suspicion as JSON */
Json::Value encode_crash_suspicion(const broadcast_crash_suspicion& suspicion, const host_id& from,
                                   std::uint64_t number);

/** @return the suspicion, or what is wrong with the JSON */
outcome<received_crash_suspicion> decode_crash_suspicion(const Json::Value& json);

} // namespace tamarack
