#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/**
 * Computes a 64-bit hash that is the same on every host and in every release.
 *
 * It is used for placement on hosts (rendezvous hashing) and for checksums of records. It is not
 * cryptographic and gives no protection against forgery.
 *
 * @param content  any bytes
 * @param seed     makes the hashes of different uses of the same content independent
 * @return XXH3 of the content
 */
std::uint64_t stable_hash(std::string_view content, std::uint64_t seed = 0);

} // namespace tamarack
