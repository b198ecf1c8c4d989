#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <string_view>
#include <utility>

namespace tamarack {

/** How exchanges are divided between targets in a host's own data centre and in others. */
enum class locality_mode {
    fixed,    ///< the cost of a target in another data centre is higher by a fixed share of the objective
    adaptive, ///< a fraction of the first exchanges leaves, by what this host observes
};

template <>
struct name_table<locality_mode> {
    static constexpr std::array<std::pair<locality_mode, std::string_view>, 2> entries{{
        {locality_mode::fixed, "fixed"},
        {locality_mode::adaptive, "adaptive"},
    }};
};

} // namespace tamarack
