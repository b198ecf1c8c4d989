#pragma once

#include <tamarack_base/tamarack_base.h>

#include <string>
#include <vector>

namespace tamarack {

/** A caller asks which hosts it should use. */
struct directory_call {
    std::string name; ///< service name that the caller wants to reach
    data_center_id near;
};

/** Answer to a caller: addresses of hosts, and how long they may be cached. */
struct directory_reply {
    std::vector<endpoint> addresses; ///< empty if this host knows none
    duration ttl{};
};

} // namespace tamarack
