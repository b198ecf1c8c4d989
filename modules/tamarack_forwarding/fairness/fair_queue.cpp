#include "fair_queue.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t min_forget_at = 64;

} // namespace

double fair_queue::start(const std::string& team, double work) {
    if (m_finish.size() >= m_forget_at) {
        forget_idle_teams();
    }
    double& finish = m_finish[team];
    const double start_tag = std::max(m_virtual_time, finish);
    finish = start_tag + work;
    return start_tag;
}

void fair_queue::on_served(double start_tag) {
    m_virtual_time = std::max(m_virtual_time, start_tag);
}

void fair_queue::on_withdrawn(const std::string& team, double work) {
    const auto found = m_finish.find(team);
    if (found != m_finish.end()) {
        found->second -= work;
    }
}

/** The next removal comes after the number of teams has doubled, so that its cost per call is constant. */
void fair_queue::forget_idle_teams() {
    std::erase_if(m_finish, [this](const auto& item) { return item.second <= m_virtual_time; });
    m_forget_at = std::max(min_forget_at, 2 * m_finish.size());
}

} // namespace tamarack
