#pragma once

#include "target_incarnation.h"

namespace tamarack {

/** A target that was found to be gone right after an exchange of a content was lost there. */
struct crash_loss {
    digest content;
    target_incarnation
        lost; ///< id empty if reported by a host of the previous release, which reports only evidence
    time_point found_at{};
};

} // namespace tamarack
