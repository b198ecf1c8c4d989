#include "target_backoff.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A host returns later than asked by up to this part of the rest. */
constexpr double return_spread = 0.2;
/** And by this at most: room that stays unused costs callers their objective. */
constexpr duration max_spread = 500ms;
/** So many successes after a rest show that the target keeps up: it is used as before. */
constexpr std::size_t successes_to_trust = 16;

} // namespace

void target_backoff::on_requested(time_point now, duration asked, random_source& random) {
    const auto part =
        duration{static_cast<duration::rep>(return_spread * static_cast<double>(asked.count()))};
    const duration spread = std::min(part, max_spread);
    m_ends_at = std::max(m_ends_at, now + asked + random.between(duration{0}, spread));
    m_max_running = 1;
}

void target_backoff::on_success() {
    if (m_max_running == unlimited) {
        return;
    }
    ++m_max_running;
    if (m_max_running > successes_to_trust) {
        m_max_running = unlimited;
    }
}

} // namespace tamarack
