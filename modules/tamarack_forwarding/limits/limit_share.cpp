#include "limit_share.h"

#include "../placement/connection_share.h"

#include <algorithm>

namespace tamarack {

double limit_share(double per_second, const std::vector<host_id>& hosts, const host_id& self,
                   const target_id& target, std::size_t connected) {
    if (std::ranges::find(hosts, self) == hosts.end()) {
        return 0.0;
    }
    const std::size_t eligible = std::max<std::size_t>(std::min(connected, hosts.size()), 1);
    const double wanted = std::clamp(per_second, 1.0, static_cast<double>(eligible));
    const auto sharing = static_cast<std::size_t>(wanted);
    return host_rank(hosts, self, target) < sharing ? 1.0 / static_cast<double>(sharing) : 0.0;
}

void limit_sharing::on_hosts(time_point now, const std::vector<host_id>& active, bool isolated) {
    m_isolated = isolated;
    for (auto& [host, until] : m_counts_until) {
        if (until == time_point::max()) {
            until = now + departure_time;
        }
    }
    for (const host_id& host : active) {
        m_counts_until[host] = time_point::max();
    }
    if (!isolated) {
        std::erase_if(m_counts_until, [now](const auto& item) { return item.second <= now; });
    }
}

std::vector<host_id> limit_sharing::hosts(time_point now) const {
    std::vector<host_id> sharing;
    for (const auto& [host, until] : m_counts_until) {
        if (m_isolated || until > now) {
            sharing.push_back(host);
        }
    }
    return sharing;
}

} // namespace tamarack
