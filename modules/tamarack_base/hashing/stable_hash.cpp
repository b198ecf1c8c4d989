#include "stable_hash.h"

#include <xxhash.h>

namespace tamarack {

std::uint64_t stable_hash(std::string_view content, std::uint64_t seed) {
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

} // namespace tamarack
