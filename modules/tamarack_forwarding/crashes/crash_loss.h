#pragma once

#include "target_incarnation.h"

namespace tamarack {

/** The loss of a target that was found to be gone right after an exchange of a content was lost there. */
struct crash_loss {
    digest content;
    target_incarnation
        lost; ///< no id if reported by a host of the previous release: then there is evidence already
    time_point found_at{};
};

} // namespace tamarack
