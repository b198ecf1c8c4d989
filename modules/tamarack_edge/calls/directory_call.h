#pragma once

#include <tamarack_base/tamarack_base.h>

#include <string>
#include <vector>

namespace tamarack {

/** A caller asks which hosts to use. */
struct directory_call {
    std::string name; ///< that the caller addresses
    data_center_id near;
};

/** Answer to a caller: hosts' addresses, and how long to keep them. */
struct directory_reply {
    std::vector<endpoint> addresses; ///< empty when this host knows none
    duration ttl{};
};

} // namespace tamarack
