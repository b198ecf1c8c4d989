#pragma once

#include "target_incarnation.h"

namespace tamarack {

/** A target was found to be gone right after an exchange of some content was lost there. */
struct crash_loss {
    digest content;
    target_incarnation
        lost; ///< without a name where a host of the release before says that there is evidence
    time_point found_at{};
};

} // namespace tamarack
