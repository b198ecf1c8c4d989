#include "connection_backoff.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Doublings of the delay while this host has no connection to the target: it must notice soon when the
 * target is back. */
constexpr std::uint32_t max_doublings_unconnected = 4;
/** Doublings with other connections open: with a hundred hosts at the limit, a target gets ten attempts a
 * second. */
constexpr std::uint32_t max_doublings = 7;
/** Random extension of the delay, as a fraction of it. */
constexpr double delay_spread = 0.5;
/** Multiple of the first delay between two steps of the allowance's growth. */
constexpr int growth_delays = 2;
/** Without a refusal for this long, the allowance is forgotten. */
constexpr duration memory = 30s;
/** Time after the loss of a served connection in which refusals are ignored. */
constexpr duration fault_time = 1s;

duration doubled(duration first, std::uint32_t count, std::uint32_t limit) {
    return first * (1U << std::min(count, limit));
}

} // namespace

void connection_backoff::on_unreachable(time_point now, duration first_delay) {
    const duration delay = doubled(first_delay, m_failures, max_doublings_unconnected);
    ++m_failures;
    m_open_at = std::max(m_open_at, now + delay);
    m_check_at = now + delay;
}

void connection_backoff::on_refused(time_point now, std::size_t held, duration first_delay,
                                    random_source& random) {
    if (m_served_lost_at && now - *m_served_lost_at < fault_time) {
        return;
    }
    m_refusals = is_limited(now) ? m_refusals : 0;
    const std::uint32_t limit = held > 0 ? max_doublings : max_doublings_unconnected;
    const duration delay = doubled(first_delay, m_refusals, limit);
    const auto spread =
        duration{static_cast<std::int64_t>(delay_spread * static_cast<double>(delay.count()))};
    ++m_refusals;
    m_allowance = std::max<std::size_t>(held, 1);
    m_refused_at = now;
    m_open_at = now + delay + random.between(duration{0}, spread);
    m_check_at = now + doubled(first_delay, m_refusals - 1, max_doublings_unconnected);
}

void connection_backoff::on_served(time_point now, std::size_t held, std::size_t share,
                                   duration first_delay) {
    if (!is_limited(now)) {
        return;
    }
    m_refusals -= m_refusals > 0 ? 1 : 0;
    m_allowance = std::max(*m_allowance, held);
    m_open_at = std::max(m_open_at, now + growth_delays * first_delay);
    if (*m_allowance >= share) {
        m_allowance.reset();
        m_refusals = 0;
    }
}

bool connection_backoff::is_limited(time_point now) const {
    return m_allowance && now - m_refused_at < memory;
}

bool connection_backoff::may_open(time_point now, std::size_t held) const {
    return now >= m_open_at && (!is_limited(now) || held <= *m_allowance);
}

} // namespace tamarack
