#pragma once

#include "../hosts/membership_message.h"

#include <string>
#include <string_view>

namespace tamarack {

/**
 * Encodes updates as lines of fields, for messages with many records: the result is shorter than JSON even
 * before compression, and a small host reads hundreds of records in the time that it needs for a few in
 * JSON.
 *
 * One line per record: "h" or "t", then the fields separated by tabs; tabs, line feeds and backslashes in
 * names are escaped.
 */
std::string write_updates(const membership_updates& updates);

/**
 * @param text       the result of write_updates
 * @param max_count  maximum number of records of each kind
 * @return the updates, or malformed with the number of the line that cannot be read
 */
outcome<membership_updates> read_updates(std::string_view text, std::size_t max_count);

} // namespace tamarack
