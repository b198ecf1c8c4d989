#include "request_limit.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/** Relative difference from which a limit counts as changed. */
constexpr double considerable_change = 0.1;
/** Time in which an unused bucket fills; at least one exchange always fits. */
constexpr duration burst_time = 500ms;
constexpr double microseconds_in_second = 1e6;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

/**
 * Replies can overtake each other, so a reply without a limit counts only if its exchange was sent after the
 * latest statement had been received.
 */
std::optional<limit_step> request_limit::on_reply(time_point now, time_point sent_at,
                                                  std::optional<double> stated) {
    const bool tells_nothing_new = !stated && (!m_rate || sent_at <= m_heard_at);
    return tells_nothing_new ? std::nullopt : apply(now, {stated, now});
}

std::optional<limit_step> request_limit::on_report(time_point now, const limit_statement& statement) {
    m_reported_at = now;
    if (statement.heard_at <= m_heard_at) {
        return std::nullopt;
    }
    return apply(now, statement);
}

std::optional<limit_step> request_limit::apply(time_point now, const limit_statement& statement) {
    m_heard_at = statement.heard_at;
    m_tokens = in_force() ? tokens_at(now) : 0.0;
    m_refilled_at = now;
    if (!statement.per_second) {
        return std::exchange(m_rate, std::nullopt) ? std::optional{limit_step::lifted} : std::nullopt;
    }
    const std::optional<double> before = std::exchange(m_rate, statement.per_second);
    if (!before) {
        return limit_step::stated;
    }
    const bool changed = std::abs(*m_rate - *before) > considerable_change * *before;
    return changed ? std::optional{limit_step::changed} : std::nullopt;
}

void request_limit::set_cold(time_point now, std::optional<double> per_second, time_point until) {
    m_tokens = in_force() ? tokens_at(now) : 0.0;
    m_refilled_at = now;
    m_cold_rate = per_second;
    m_cold_until = until;
}

double request_limit::rate() const {
    if (m_rate && m_cold_rate) {
        return std::min(*m_rate, *m_cold_rate);
    }
    return m_rate ? *m_rate : m_cold_rate.value_or(0.0);
}

void request_limit::set_share(time_point now, double share) {
    m_tokens = tokens_at(now);
    m_refilled_at = now;
    m_share = share;
}

void request_limit::on_sent(time_point now) {
    m_tokens = std::max(tokens_at(now) - 1.0, 0.0);
    m_refilled_at = now;
    m_sent_at = now;
}

double request_limit::own_rate() const {
    return m_share * std::max(rate(), min_rate);
}

double request_limit::capacity() const {
    return std::max(1.0, own_rate() * seconds_of(burst_time));
}

double request_limit::tokens_at(time_point now) const {
    const double added = own_rate() * seconds_of(std::max(now - m_refilled_at, duration{0}));
    return std::min(m_tokens + added, capacity());
}

time_point request_limit::allowed_at(time_point now, std::size_t nth) const {
    if (!in_force()) {
        return now;
    }
    if (m_share <= 0.0 && !m_rate) {
        return std::max(now, m_cold_until); // no check is needed: the limit ends by itself
    }
    if (m_share <= 0.0) {
        const double interval = (1.0 + m_spread) * static_cast<double>(min_check_interval.count());
        const time_point check =
            std::max(m_heard_at, m_sent_at) + duration{static_cast<std::int64_t>(interval)};
        return std::max(now, check) + static_cast<duration::rep>(nth - 1) * min_check_interval;
    }
    const double missing = static_cast<double>(nth) - tokens_at(now);
    // Rounded up, so that a timer for this time finds a whole token.
    const double wait = std::ceil(std::max(missing, 0.0) / own_rate() * microseconds_in_second);
    return now + duration{static_cast<std::int64_t>(wait)};
}

} // namespace tamarack
