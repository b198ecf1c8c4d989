#include "control_host_registry.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void control_host_registry::on_identity(time_point now, member_id member, data_center_id data_center) {
    const host_id host = member.host;
    m_hosts[host] = {std::move(member), std::move(data_center), now};
}

std::vector<member_id> control_host_registry::first_voters(const host_id& leader) const {
    const formation_settings& formation = m_settings.formation;
    const bool may_bootstrap = formation.automatic && formation.first_start && !m_settings.seeds.empty() &&
                               m_settings.seeds.front().host == m_settings.host;
    if (!may_bootstrap || !leader.empty()) {
        return {};
    }
    const std::size_t voter_count =
        std::min<std::size_t>(2U * formation.tolerated_losses + 1U, m_settings.seeds.size());
    std::vector<member_id> voters;
    for (std::size_t index = 0; index < voter_count; ++index) {
        const auto known = m_hosts.find(m_settings.seeds[index].host);
        if (known == m_hosts.end()) {
            return {};
        }
        voters.push_back(known->second.member);
    }
    return voters;
}

std::vector<voter_candidate> control_host_registry::candidates(time_point now) const {
    std::vector<voter_candidate> known;
    known.reserve(m_hosts.size());
    for (const auto& [host, known_host] : m_hosts) {
        known.push_back({known_host.member, known_host.data_center, now - known_host.last_seen});
    }
    return known;
}

std::map<host_id, member_id> control_host_registry::identities() const {
    std::map<host_id, member_id> identities;
    for (const auto& [host, known_host] : m_hosts) {
        identities[host] = known_host.member;
    }
    return identities;
}

} // namespace tamarack
