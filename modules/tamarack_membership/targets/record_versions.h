#pragma once

#include <cstdint>
#include <limits>

namespace tamarack {

/** An incarnation that ended stays ended: heartbeats that its registrar heard meanwhile don't count against
 * it.
 */
inline constexpr std::uint64_t final_version = std::numeric_limits<std::uint64_t>::max();

/** Sequence numbers order the states of one incarnation; the end of a lease comes after the last one heard.
 */
inline std::uint64_t version_of(std::uint64_t sequence, bool alive) {
    return sequence * 2 + (alive ? 0 : 1);
}

} // namespace tamarack
