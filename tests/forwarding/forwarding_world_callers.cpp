#include "forwarding_world.h"

#include <algorithm>

namespace tamarack {

void forwarding_world::add_team(const std::string& name) {
    team added;
    added.name = name;
    added.keys = {name};
    m_table.teams.push_back(std::move(added));
    m_table.requires_keys = true;
}

void forwarding_world::return_caller(const open_request& refused, duration retry_after) {
    constexpr int honoured_divisor = 3;
    const duration left = refused.taken->timeout - (m_now - refused.first_arrived);
    const duration delay = std::min(retry_after, left / honoured_divisor);
    schedule(m_now + delay, [this, name = refused.taken->name, team = refused.team,
                             first = refused.first_arrived] { arrive(name, team, first); });
}

void forwarding_world::for_each_target(const std::function<void(const std::string&, world_target&)>& visit) {
    for (auto& [id, target] : m_targets) {
        visit(id.value(), target.behaviour);
    }
}

double forwarding_world::good_share(duration from, duration until, std::int64_t priority) const {
    double all = 0;
    double good = 0;
    for (const world_result& result : m_results) {
        const bool counts = result.arrived >= m_start + from && result.arrived < m_start + until &&
                            (priority < 0 || result.priority == static_cast<std::uint32_t>(priority));
        all += counts ? 1 : 0;
        good += counts && result.in_objective ? 1 : 0;
    }
    return all > 0 ? good / all : 0.0;
}

double forwarding_world::good_share_of(duration from, duration until,
                                       const std::function<bool(const std::string&)>& wanted) const {
    double all = 0;
    double good = 0;
    for (const world_result& result : m_results) {
        const bool counts = result.arrived >= m_start + from && result.arrived < m_start + until &&
                            !result.is_return && wanted(result.team);
        all += counts ? 1 : 0;
        good += counts && result.in_objective ? 1 : 0;
    }
    return all > 0 ? good / all : 0.0;
}

std::uint64_t forwarding_world::gave_way() const {
    std::uint64_t count = 0;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        count += statistics(host).gave_way;
    }
    return count;
}

} // namespace tamarack
