#pragma once

#include "../payload/target_exchange.h"

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <optional>

namespace tamarack {

/** Inputs of the decision what to do with an exchange whose reply is no longer needed. */
struct abandoned_exchange {
    std::optional<target_load> load; ///< as the target last reported
    duration report_age{};
    std::uint32_t slots = 1; ///< exchanges that the target processes at the same time
};

/**
 * Decides whether to close the connection of an exchange whose reply is no longer needed, instead of awaiting
 * the reply.
 *
 * Load pattern: one replica of a shard is left, or the others are slow, and its queue is about as long as the
 * objective. Requests are answered without the shard, while their exchanges still wait there and delay those
 * of later requests, which then miss the objective as well. A target discards a queued exchange when its
 * connection closes. Without a queue, a reopened connection costs the target more than the rest of the work.
 */
bool cancels_work(const abandoned_exchange& abandoned);

} // namespace tamarack
