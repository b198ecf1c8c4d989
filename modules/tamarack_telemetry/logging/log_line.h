#pragma once

#include "state_log.h"

#include <string>
#include <string_view>

namespace tamarack {

/**
 * Formats the part of a log line that follows time and level.
 *
 * @return `host event ticket=N key=value ...`; an empty value, or one with spaces, quotes, backslashes, `=`,
 * control or non-ASCII characters, is quoted and uses the escapes `\"`, `\\`, `\n` and `\xHH`, so that each
 * change stays on one line
 */
std::string format_log_line(const host_id& host, std::string_view event, ticket_number ticket,
                            std::initializer_list<log_field> fields);

} // namespace tamarack
