#pragma once

namespace tamarack::ctl {

/** Exit codes of the tool; the numbers are part of its interface. */
enum class exit_code {
    done = 0,
    refused = 1,     ///< the daemon refused the request and gave a reason
    usage = 2,       ///< invalid command line or unreadable file
    unreachable = 3, ///< none of the given addresses answered
    not_ready = 4,   ///< a host answered, but knows no leader or no ticket yet
    unknown = 5,     ///< the answer was lost; the request may have been executed
    partial = 6,     ///< the answer to a query does not cover all shards
};

} // namespace tamarack::ctl
