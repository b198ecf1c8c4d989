#include "isolation_monitor.h"

#include <algorithm>

namespace tamarack {

void isolation_monitor::on_result(time_point now, bool answered) {
    m_recent.push_back(answered);
    if (m_recent.size() > m_options.recent_probes) {
        m_recent.pop_front();
    }
    if (m_recent.size() < m_options.min_probes) {
        return;
    }
    const auto answers = std::count(m_recent.begin(), m_recent.end(), true);
    const double share = static_cast<double>(answers) / static_cast<double>(m_recent.size());
    const bool too_few = share < m_options.isolated_share;
    if (!too_few) {
        m_isolated = false;
        return;
    }
    if (!m_isolated) {
        m_isolated = true;
        m_isolated_since = now;
        return;
    }
    const bool in_minority_group =
        answers > 0 && now - m_isolated_since > m_options.max_isolation_with_answers;
    if (in_minority_group) {
        m_isolated = false;
        m_recent.clear();
    }
}

} // namespace tamarack
