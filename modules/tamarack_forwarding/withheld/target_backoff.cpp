#include "target_backoff.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A host extends a backoff by a random time of up to this fraction of it. */
constexpr double max_relative_spread = 0.2;
/** Upper bound of the extension: while capacity stays unused, callers miss their objective. */
constexpr duration max_spread = 500ms;
/** Number of successes after a backoff after which the target is used without a limit again. */
constexpr std::size_t successes_to_unlimited = 16;

} // namespace

void target_backoff::on_requested(time_point now, duration requested, random_source& random) {
    const auto part =
        duration{static_cast<duration::rep>(max_relative_spread * static_cast<double>(requested.count()))};
    const duration spread = std::min(part, max_spread);
    m_ends_at = std::max(m_ends_at, now + requested + random.between(duration{0}, spread));
    m_max_running = 1;
}

void target_backoff::on_success() {
    if (m_max_running == unlimited) {
        return;
    }
    ++m_max_running;
    if (m_max_running > successes_to_unlimited) {
        m_max_running = unlimited;
    }
}

} // namespace tamarack
