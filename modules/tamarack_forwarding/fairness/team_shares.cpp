#include "team_shares.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace tamarack {

namespace {

/**
 * Time in which a request loses weight to 1/e. A host sees only a small part of each team's requests: a team
 * with a tenth of the requests of 80 hosts sends one in about three seconds to each.
 */
constexpr duration memory = 5s;
/** Exponent of the weight at which all sums are scaled down. */
constexpr double max_exponent = 20.0;
/** Recent requests that a team must have sent to be above its share; a single one says nothing. */
constexpr double min_requests = 1.5;
/** Fraction of the admitted work that is distributed. Below 1, so that some team gives way when the queue
 * grows, before any request has been refused. */
constexpr double distributed_share = 0.9;
/** A team gives way only while it is served at least this fraction as often as all; callers need a quarter.
 */
constexpr double served_floor = 0.5;
/** The share is computed again after this period, plus a delay for each team, which keeps its cost constant.
 */
constexpr duration level_period = 100ms;
constexpr duration level_period_of_team = 200us;
/** A team with fewer weighted requests is forgotten. */
constexpr double forgotten_requests = 0.01;

} // namespace

void team_shares::advance(time_point now) {
    const auto exponent_at = [&] {
        return std::chrono::duration<double>(now - m_scale_at) / std::chrono::duration<double>(memory);
    };
    if (exponent_at() > max_exponent) {
        const double factor = std::exp(-exponent_at());
        m_scale_at = now;
        m_level_until = now;
        m_all = {};
        for (auto& [name, team] : m_teams) {
            team = {team.requests * factor, team.offered * factor, team.admitted * factor};
            m_all.requests += team.requests;
            m_all.offered += team.offered;
            m_all.admitted += team.admitted;
        }
        std::erase_if(m_teams, [](const auto& item) { return item.second.requests < forgotten_requests; });
    }
    m_weight = std::exp(exponent_at());
}

void team_shares::on_arrival(time_point now, const std::string& team, double work) {
    advance(now);
    for (sums* const sum : {&m_teams[team], &m_all}) {
        sum->requests += m_weight;
        sum->offered += m_weight * work;
    }
}

void team_shares::on_admitted(const std::string& team, double work) {
    m_teams[team].admitted += m_weight * work;
    m_all.admitted += m_weight * work;
}

/** @return the work that each team may have, if teams that need less leave the rest to the others */
double team_shares::fair_level() {
    std::vector<double> demands;
    demands.reserve(m_teams.size());
    for (const auto& [name, team] : m_teams) {
        demands.push_back(team.offered);
    }
    std::sort(demands.begin(), demands.end());
    double left = distributed_share * m_all.admitted;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double level = left / static_cast<double>(demands.size() - index);
        if (demands[index] > level) {
            return level;
        }
        left -= demands[index];
    }
    return demands.empty() ? 0.0 : demands.back();
}

bool team_shares::gives_way(time_point now, const std::string& team) {
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || m_teams.size() < 2) {
        return false;
    }
    if (now >= m_level_until) {
        m_level = fair_level();
        m_level_until = now + level_period + static_cast<std::int64_t>(m_teams.size()) * level_period_of_team;
    }
    const sums& own = found->second;
    const bool is_starved = own.admitted * m_all.offered < served_floor * m_all.admitted * own.offered;
    return own.requests > min_requests * m_weight && own.offered > m_level && !is_starved;
}

double team_shares::fraction_of(const std::string& team) const {
    const auto found = m_teams.find(team);
    return found == m_teams.end() || m_all.offered <= 0.0 ? 0.0 : found->second.offered / m_all.offered;
}

} // namespace tamarack
