#include "load_reporter.h"

#include <cmath>

namespace tamarack {

namespace {

/** Weight of the newest second: half of a lasting change is seen after two. */
constexpr double smoothing_factor = 0.3;
/** A change that is told, as a share of the capacity: the choice of hosts rests on halves of it. */
constexpr double min_reported_change = 0.125;
constexpr duration min_report_interval = 2s;
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
    m_average += smoothing_factor * (reading - m_average);
    const double step = min_reported_change * static_cast<double>(m_capacity);
    const bool changed = std::abs(m_average - static_cast<double>(m_reported)) > step;
    if (m_capacity == 0 || !changed || now < m_reported_at + min_report_interval) {
        return std::nullopt;
    }
    m_reported = static_cast<std::uint32_t>(std::lround(m_average));
    m_reported_at = now;
    return m_reported;
}

} // namespace tamarack
