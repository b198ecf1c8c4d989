#include "load_reporter.h"

#include <cmath>

namespace tamarack {

namespace {

/**
 * Weight of the latest second in the moving average: after two seconds, it shows half of a lasting change.
 */
constexpr double smoothing_factor = 0.3;
/**
 * Smallest change that is reported, as a share of the capacity: the choice of active hosts is based on
 * halves of the capacity.
 */
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
