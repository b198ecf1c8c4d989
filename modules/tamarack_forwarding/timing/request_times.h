#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <optional>

namespace tamarack {

/** Moments of one request by which decisions are due. */
struct request_times {
    time_point objective_at;    ///< an answer that leaves by then reaches the caller within its objective
    time_point answer_deadline; ///< the last moment for an answer
};

/**
 * Works out when a request's answer is due.
 *
 * A caller's objective and deadline run from its first attempt. What it says it will still wait tells how
 * much of the route's timeout has passed already.
 *
 * @param arrived   when the request was read
 * @param remaining_time  how much longer the caller waits; absent when it did not say
 */
request_times compute_request_times(const route& selected, time_point arrived,
                                    std::optional<duration> remaining_time);

/**
 * When to send a second exchange for a shard.
 *
 * Load pattern: each target pauses for a moment now and then, and a request over ten shards meets a pause
 * often. A hedge after the time that one exchange in ten exceeds catches the pauses at little extra load; it
 * must leave enough time for the second exchange.
 *
 * @param high  time that one exchange of the route in ten exceeds
 * @param left  until the objective
 * @return time after the first exchange was sent
 */
duration hedge_delay(duration p90, duration left);

} // namespace tamarack
