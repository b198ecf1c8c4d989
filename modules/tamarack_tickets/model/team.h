#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** A team whose callers identify themselves by a key, and the limit on its requests. */
struct team {
    std::string name;
    std::vector<std::string> keys;         ///< secrets; never written to a log
    std::optional<std::uint32_t> priority; ///< takes precedence over the route's
    double requests_per_second = 0.0;      ///< over all hosts; 0 means no limit
    double burst = 0.0;                    ///< requests beyond the rate that may come at once
    std::vector<std::string> regions;      ///< of the targets that may run its requests; empty means all

    bool operator==(const team&) const = default;
};

} // namespace tamarack
