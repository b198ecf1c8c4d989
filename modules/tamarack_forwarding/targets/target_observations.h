#pragma once

#include "engine_target.h"

namespace tamarack {

/** Records a successful exchange that took `taken`, where `median_time` is the median of such exchanges. */
void observe_success(engine_target& target, time_point now, duration taken, duration median_time);

/** Records a failed exchange or a lost connection. */
void observe_failure(engine_target& target, time_point now);

/** Records the load that the target reported with a reply, if any. */
void observe_load(engine_target& target, time_point now, const std::optional<target_load>& load);

/** @return time-decayed share of failures, 0 to 1 */
double error_share_of(const engine_target& target, time_point now);

} // namespace tamarack
