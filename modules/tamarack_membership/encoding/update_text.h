#pragma once

#include "../hosts/membership_message.h"

#include <string>
#include <string_view>

namespace tamarack {

/**
 * Writes news as lines of fields, for messages of many records: it is shorter than JSON before it is
 * compressed, and small hosts read hundreds of records in the time that JSON takes for a few.
 *
 * One line a record: "h" or "t", then the fields separated by tabs; tabs, line ends and backslashes in names
 * are escaped.
 */
std::string write_updates(const membership_updates& updates);

/**
 * @param text  what write_news returned
 * @param most  records of one kind at most
 * @return the news, or malformed with the line that can't be read
 */
outcome<membership_updates> read_updates(std::string_view text, std::size_t max_count);

} // namespace tamarack
