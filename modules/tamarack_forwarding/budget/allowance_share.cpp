#include "allowance_share.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Fraction of the allowance that the active hosts share when there are standby hosts. */
constexpr double active_hosts_share = 0.8;
/** Host count to assume at the first start of a system, while some hosts may not be known yet. */
constexpr std::size_t min_hosts_at_first_start = 4;

} // namespace

allowance_share::allowance_share(host_id self, duration window, earlier_processes earlier)
    : m_self(std::move(self)), m_settling_time(window + propagation_time), m_earlier(earlier) {}

void allowance_share::update(group& members, time_point now, const std::vector<host_id>& present) {
    ++m_round;
    for (const host_id& host : present) {
        membership& member = members.try_emplace(host, membership{now}).first->second;
        if (!member.is_member()) {
            member = membership{now};
        }
        member.round = m_round;
    }
    for (auto& [host, member] : members) {
        if (member.is_member() && member.round != m_round) {
            member.left_at = now;
        }
    }
}

void allowance_share::remove_departed(group& members, time_point now) const {
    std::erase_if(members, [this, now](const auto& item) {
        return !item.second.is_member() && item.second.left_at + m_settling_time < now;
    });
}

void allowance_share::on_sharing_hosts(time_point now, const sharing_hosts& hosts) {
    m_started = std::min(m_started, now);
    update(m_active, now, hosts.active);
    update(m_standby, now, hosts.standby);
}

time_point allowance_share::spendable_from(const membership& own) const {
    const bool first_start = m_earlier == earlier_processes::none && own.since < m_started + m_settling_time;
    return first_start ? own.since : own.since + m_settling_time;
}

allowance_part allowance_share::part(time_point now) {
    remove_departed(m_active, now);
    remove_departed(m_standby, now);
    const auto is_member = [this](const group& members) {
        const auto own = members.find(m_self);
        return own != members.end() && own->second.is_member();
    };
    const bool active = is_member(m_active);
    if (!active && !is_member(m_standby)) {
        return {};
    }
    const group& members = active ? m_active : m_standby;
    const double group_fraction = m_standby.empty() ? 1.0
                                  : active          ? active_hosts_share
                                                    : 1.0 - active_hosts_share;
    const bool all_known = m_earlier == earlier_processes::possible || now >= m_started + m_settling_time;
    const std::size_t host_count =
        all_known ? members.size() : std::max(members.size(), min_hosts_at_first_start);
    return {group_fraction / static_cast<double>(host_count), spendable_from(members.at(m_self))};
}

} // namespace tamarack
