#include "allowance_share.h"

#include <utility>

namespace tamarack {

namespace {

/** Parts of the allowance that the active hosts get where others stand by. */
constexpr double share_of_active = 0.8;

} // namespace

allowance_share::allowance_share(host_id self, duration window)
    : m_self(std::move(self)), m_span(window + news_time) {}

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

void allowance_share::on_sharers(time_point now, const connection_sharers& sharers) {
    update(m_active, now, sharers.active);
    update(m_standby, now, sharers.standby);
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
    return {of_group / static_cast<double>(members.size()), members.at(m_self).since + m_span};
}

} // namespace tamarack
