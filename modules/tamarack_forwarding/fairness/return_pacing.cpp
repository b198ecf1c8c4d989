#include "return_pacing.h"

#include "../admission/admission.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Window in which completions are counted; the target of a busy service completes several in it. */
constexpr duration window = 250ms;

} // namespace

void return_pacing::roll_window(time_point now) {
    if (now - m_window_since < window) {
        return;
    }
    m_completed_in_last = now - m_window_since < 2 * window ? m_completed : 0;
    m_completed = 0;
    m_window_since = now;
}

void return_pacing::on_completed(time_point now) {
    roll_window(now);
    ++m_completed;
}

duration return_pacing::next(time_point now, const return_request& refused, random_source& random) {
    roll_window(now);
    const std::uint32_t completed = std::max({m_completed, m_completed_in_last, 1U});
    const duration interval = std::min(refused.interval, window / completed);
    const time_point earliest = now + refused.capacity_in;
    if (m_next_return <= earliest) {
        m_next_return = earliest + interval;
        return add_retry_jitter(refused.capacity_in, random);
    }
    const duration delay = m_next_return - now;
    if (refused.useful_for <= refused.capacity_in) {
        return add_retry_jitter(refused.capacity_in, random);
    }
    if (delay <= refused.useful_for) {
        m_next_return += interval;
        return delay;
    }
    // Capacity becomes free too late for this caller. It may try anyway, but not together with the others.
    return random.between(refused.capacity_in, refused.useful_for);
}

} // namespace tamarack
