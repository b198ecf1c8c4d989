#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace tamarack {

/** Length of one record of a part, in bytes; a shorter rest at the end of a part is no record. */
inline constexpr std::size_t record_bytes = 16;

/**
 * Merges parts into one body: the greatest records of all parts, greatest first, compared byte by byte.
 *
 * Equal records all count. Associative: merging merged parts gives the same records.
 *
 * @param parts  bodies of records in any order
 * @param limit  most records in the result
 */
std::string merge_greatest(const std::vector<const std::string*>& parts, std::size_t limit);

} // namespace tamarack
