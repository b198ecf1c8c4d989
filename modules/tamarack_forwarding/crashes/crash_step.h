#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace tamarack {

/** A step in the evidence that requests of one content crash their targets. */
enum class crash_step {
    lost,       ///< an exchange lost its connection
    unanswered, ///< an exchange was abandoned after its target had been silent for long
    confirmed,  ///< the target could not be reached right after the loss, or another process replaced it
    withheld,   ///< a request is not retried or hedged because of the evidence
    refused,    ///< a request is not sent at all
};

template <>
struct name_table<crash_step> {
    static constexpr std::array<std::pair<crash_step, std::string_view>, 5> entries{{
        {crash_step::lost, "lost"},
        {crash_step::unanswered, "unanswered"},
        {crash_step::confirmed, "confirmed"},
        {crash_step::withheld, "withheld"},
        {crash_step::refused, "refused"},
    }};
};

} // namespace tamarack
