#include "allowance_share.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Parts of the allowance that the active hosts get where others stand by. */
constexpr double share_of_active = 0.8;
/** Hosts of a system that starts, while some of them may not be known yet. */
constexpr std::size_t min_hosts_at_first_start = 4;

} // namespace

allowance_share::allowance_share(host_id self, duration window, earlier_processes earlier)
    : m_self(std::move(self)), m_span(window + news_time), m_earlier(earlier) {}

void allowance_share::update(group& members, time_point now, const std::vector<host_id>& present) {
    ++m_round;
    for (const host_id& host : present) {
        membership& known = members.try_emplace(host, membership{now}).first->second;
        if (!known.belongs()) {
            known = membership{now};
        }
        known.round = m_round;
    }
    for (auto& [host, known] : members) {
        if (known.belongs() && known.round != m_round) {
            known.left_at = now;
        }
    }
}

void allowance_share::forget(group& members, time_point now) const {
    std::erase_if(members, [this, now](const auto& item) {
        return !item.second.belongs() && item.second.left_at + m_span < now;
    });
}

void allowance_share::on_sharing_hosts(time_point now, const sharing_hosts& sharing) {
    m_started = std::min(m_started, now);
    update(m_active, now, sharing.active);
    update(m_standby, now, sharing.standby);
}

time_point allowance_share::start_of(const membership& own) const {
    const bool first_start = m_earlier == earlier_processes::none && own.since < m_started + m_span;
    return first_start ? own.since : own.since + m_span;
}

allowance_part allowance_share::part(time_point now) {
    forget(m_active, now);
    forget(m_standby, now);
    const auto belongs = [this](const group& members) {
        const auto own = members.find(m_self);
        return own != members.end() && own->second.belongs();
    };
    const bool active = belongs(m_active);
    if (!active && !belongs(m_standby)) {
        return {};
    }
    const group& members = active ? m_active : m_standby;
    const double of_group = m_standby.empty() ? 1.0 : active ? share_of_active : 1.0 - share_of_active;
    const bool all_known = m_earlier == earlier_processes::possible || now >= m_started + m_span;
    const std::size_t sharing =
        all_known ? members.size() : std::max(members.size(), min_hosts_at_first_start);
    return {of_group / static_cast<double>(sharing), start_of(members.at(m_self))};
}

} // namespace tamarack
