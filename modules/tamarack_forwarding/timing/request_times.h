#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <optional>

namespace tamarack {

/** Points in time that the decisions about a request depend on. */
struct request_times {
    time_point objective_at;    ///< an answer sent by then reaches the caller within its objective
    time_point answer_deadline; ///< latest time for an answer
};

/**
 * Computes when a request's answer is due.
 *
 * A caller's objective and deadline start with its first attempt. The remaining time that it states shows how
 * much of the route's timeout has already passed.
 *
 * @param selected        the route of the request
 * @param arrived         when the request was read
 * @param remaining_time  how much longer the caller waits, if stated
 */
request_times compute_request_times(const route& selected, time_point arrived,
                                    std::optional<duration> remaining_time);

/**
 * Computes when to send a second exchange for a shard.
 *
 * Load pattern: each target pauses briefly from time to time, so a request over ten shards often encounters a
 * pause. A hedge shortly after the 90th percentile covers the pauses with little extra load. It must leave
 * enough time for the second exchange.
 *
 * @param p90   90th percentile of the time of the route's exchanges
 * @param left  time until the objective
 * @return delay after the first exchange was sent
 */
duration hedge_delay(duration p90, duration left);

} // namespace tamarack
