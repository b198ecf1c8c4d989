#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/**
 * Bounds on the fields of an announcement. Checks and codecs share them: a record that one host accepts and
 * another can't decode would cost the other host the whole message that carries it.
 */
struct announcement_bounds {
    static constexpr std::size_t versions = 16;
    static constexpr std::size_t name_bytes = 200;
    /** Leaves room for version_of, which doubles it. */
    static constexpr std::uint64_t sequence = std::uint64_t{1} << 62U;
    /** Of replica, slots, connections and load. */
    static constexpr std::uint32_t count = 1'000'000;
    static constexpr duration warmup = 1h;
};

} // namespace tamarack
