#pragma once

#include <tamarack_base/tamarack_base.h>

#include <compare>

namespace tamarack {

/** A target in one life: under another life it is another process. */
struct target_life {
    target_id target;
    incarnation life;

    friend bool operator==(const target_life&, const target_life&) = default;
    friend std::strong_ordering operator<=>(const target_life& left, const target_life& right) {
        const std::strong_ordering by_target = left.target <=> right.target;
        return by_target == std::strong_ordering::equal ? left.life <=> right.life : by_target;
    }
};

} // namespace tamarack
