#pragma once

#include <tamarack_base/tamarack_base.h>

#include <compare>

namespace tamarack {

/** One incarnation of a target; each incarnation is a different process. */
struct target_incarnation {
    target_id target;
    incarnation_id incarnation;

    friend bool operator==(const target_incarnation&, const target_incarnation&) = default;
    friend std::strong_ordering operator<=>(const target_incarnation& left, const target_incarnation& right) {
        const std::strong_ordering by_target = left.target <=> right.target;
        return by_target == std::strong_ordering::equal ? left.incarnation <=> right.incarnation : by_target;
    }
};

} // namespace tamarack
