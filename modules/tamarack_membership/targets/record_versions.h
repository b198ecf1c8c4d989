#pragma once

#include <cstdint>
#include <limits>

namespace tamarack {

/**
 * Version of the record of an ended incarnation. No version is higher, so heartbeats that the registrar
 * received in the meantime do not override the end.
 */
inline constexpr std::uint64_t final_version = std::numeric_limits<std::uint64_t>::max();

/**
 * @return the version of a record: sequence numbers order the states of one incarnation, and the expiry of
 * the lease comes after the last received sequence number
 */
inline std::uint64_t version_of(std::uint64_t sequence, bool alive) {
    return sequence * 2 + (alive ? 0 : 1);
}

} // namespace tamarack
