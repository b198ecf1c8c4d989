#pragma once

#include <cstdint>
#include <limits>

namespace tamarack {

/**
 * Version of the record of an ended incarnation: heartbeats that its registrar received in the meantime do
 * not override the end.
 */
inline constexpr std::uint64_t final_version = std::numeric_limits<std::uint64_t>::max();

/**
 * Sequence numbers order the states of one incarnation; the expiry of a lease comes after the last sequence
 * number received.
 */
inline std::uint64_t version_of(std::uint64_t sequence, bool alive) {
    return sequence * 2 + (alive ? 0 : 1);
}

} // namespace tamarack
