#include "route_table.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

std::size_t parts_needed(double least_share, std::size_t total) {
    /** Keeps the rounding of a product such as 0.6 * 5 from adding a part. */
    constexpr double rounding = 1e-9;
    const double needed = std::ceil(least_share * static_cast<double>(total) - rounding);
    return std::max<std::size_t>(static_cast<std::size_t>(std::max(needed, 0.0)), 1);
}

} // namespace tamarack
