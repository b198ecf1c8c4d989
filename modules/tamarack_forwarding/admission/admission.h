#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/** What the decision on a new request depends on. */
struct admission_inputs {
    duration until_objective{}; ///< may be negative
    duration until_answer_deadline{};
    duration median_time{};     ///< median time of the route's exchanges
    std::uint32_t priority = 0; ///< 0 is the most urgent
    duration queue_time{};      ///< time that its exchanges wait for a connection and at their targets
    duration lag{};             ///< how far this host's event loop is behind
};

/** A decision on a new request. */
struct admission_decision {
    bool admitted = true;
    duration expected_wait{}; ///< before its exchanges are sent
    duration retry_after{};   ///< when there will be room; of a refusal
};

/**
 * Decides at once whether a request is taken on.
 *
 * Load patterns: a load of 1.7 to 4 times the usual, half of the hosts killed so that the others have twice
 * their share, callers that repeat at once and often. What would miss its deadline, or miss its objective
 * because of a queue, is refused at once, so that the caller can go elsewhere while there is time. Less
 * urgent requests are refused at a shorter queue than urgent ones.
 */
admission_decision admit(const admission_inputs& inputs);

/**
 * Spreads the return of refused callers.
 *
 * @return the time to tell: from the given time to one and a half times as long
 */
duration add_retry_jitter(duration retry_after, random_source& random);

} // namespace tamarack
