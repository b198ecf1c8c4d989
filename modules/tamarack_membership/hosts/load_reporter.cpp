#include "load_reporter.h"

#include <cmath>

namespace tamarack {

namespace {

/** Weight of the newest second: half of a lasting change is seen after two. */
constexpr double newest_weight = 0.3;
/** A change that is told, as a share of the capacity: the choice of hosts rests on halves of it. */
constexpr double told_change = 0.125;
constexpr duration tell_interval = 2s;
constexpr double thousandths = 1'000.0;

} // namespace

std::optional<std::uint32_t> load_reporter::observe(time_point now, duration used) {
    if (!m_used || now <= m_read_at) {
        m_used = used;
        m_read_at = now;
        return std::nullopt;
    }
    const double reading = thousandths * static_cast<double>((used - *m_used).count()) /
                           static_cast<double>((now - m_read_at).count());
    m_used = used;
    m_read_at = now;
    m_smooth += newest_weight * (reading - m_smooth);
    const double step = told_change * static_cast<double>(m_capacity);
    const bool changed = std::abs(m_smooth - static_cast<double>(m_told)) > step;
    if (m_capacity == 0 || !changed || now < m_told_at + tell_interval) {
        return std::nullopt;
    }
    m_told = static_cast<std::uint32_t>(std::lround(m_smooth));
    m_told_at = now;
    return m_told;
}

} // namespace tamarack
