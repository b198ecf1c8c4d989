#include "request_limit.h"

#include <cmath>

namespace tamarack {

namespace {

/** Relative difference from which a limit counts as changed. */
constexpr double considerable_change = 0.1;

} // namespace

/**
 * Replies can overtake each other, so a reply without a limit counts only if its exchange was sent after the
 * latest statement had been received.
 */
std::optional<limit_step> request_limit::on_reply(time_point now, time_point sent_at,
                                                  std::optional<double> stated) {
    if (!stated) {
        if (!m_rate || sent_at <= m_heard_at) {
            return std::nullopt;
        }
        m_rate.reset();
        m_heard_at = now;
        return limit_step::lifted;
    }
    const std::optional<double> before = std::exchange(m_rate, stated);
    m_heard_at = now;
    if (!before) {
        return limit_step::stated;
    }
    const bool changed = std::abs(*stated - *before) > considerable_change * *before;
    return changed ? std::optional{limit_step::changed} : std::nullopt;
}

} // namespace tamarack
