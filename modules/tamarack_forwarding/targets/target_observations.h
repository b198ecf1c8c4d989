#pragma once

#include "known_target.h"

namespace tamarack {

/** An exchange of usual length `usual` took `taken` at this target. */
void observe_success(known_target& target, time_point now, duration taken, duration median_time);

/** An exchange failed at this target, or its connection was lost. */
void observe_failure(known_target& target, time_point now);

/** The target reported its load with a reply. */
void observe_load(known_target& target, time_point now, const std::optional<target_load>& load);

/** @return the aged share of failures, 0 to 1 */
double error_share_of(const known_target& target, time_point now);

} // namespace tamarack
