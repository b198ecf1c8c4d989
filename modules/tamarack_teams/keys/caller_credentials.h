#pragma once

#include <string>

namespace tamarack {

/** What a request states about the identity of its caller. */
enum class credentials_state {
    absent,
    key,       ///< exactly one key
    malformed, ///< another scheme, no key or several of them
};

/** The credentials of a request. */
struct caller_credentials {
    credentials_state state = credentials_state::absent;
    std::string key; ///< a secret; never written to a log
};

} // namespace tamarack
