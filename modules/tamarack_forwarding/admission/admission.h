#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/** A caller that retries sooner finds the targets in the same state. */
inline constexpr duration min_retry_after = 20ms;

/** Inputs of the admission decision for a new request. */
struct forward_admission_inputs {
    duration until_objective{}; ///< negative once the objective has passed
    duration until_answer_deadline{};
    duration median_time{};     ///< median time of the route's exchanges
    std::uint32_t priority = 0; ///< 0 is the most urgent
    duration queue_time{};      ///< expected wait of the request's exchanges, for connections and at targets
    duration lag{};             ///< how late this host's event loop runs
};

/** Result of the admission decision. */
struct admission_decision {
    bool admitted = true;
    duration expected_wait{}; ///< before the exchanges are sent
    duration retry_after{};   ///< refusals only: time until capacity is expected to be free
};

/**
 * Decides on arrival whether to accept a request.
 *
 * Load patterns: 1.7 to 4 times the normal load; half of the hosts killed, so that the others receive twice
 * their share; callers that retry immediately and often. A request that would miss its deadline, or miss its
 * objective because of queueing, is refused immediately so that the caller can try another host in time.
 * Lower-priority requests are refused at a shorter queue than urgent ones.
 */
admission_decision admit(const forward_admission_inputs& inputs);

/**
 * Load pattern: a team sends several times its usual load. By the time at which requests have to be refused,
 * the queue is so long that those of all teams are.
 *
 * @return whether capacity is short: a request that waits must be refused if the wait becomes twice as long
 */
bool is_short(const forward_admission_inputs& inputs);

/**
 * Adds random jitter to a retry delay, so that refused callers do not all come back at the same moment.
 *
 * @return the delay to send to the caller: 1 to 1.5 times `retry_after`
 */
duration add_retry_jitter(duration retry_after, random_source& random);

} // namespace tamarack
