#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace tamarack {

/** Length of one record of a part, in bytes; a shorter remainder at the end of a part is ignored. */
inline constexpr std::size_t record_bytes = 16;

/**
 * Merges parts into one body: the greatest records of all parts, in descending order, compared as unsigned
 * bytes.
 *
 * Duplicates are kept. Associative: merging merged parts gives the same records.
 *
 * @param parts  bodies with records in any order
 * @param limit  maximum number of records in the result
 */
std::string merge_greatest(const std::vector<const std::string*>& parts, std::size_t limit);

} // namespace tamarack
