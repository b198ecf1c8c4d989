#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <string>
#include <unordered_map>

namespace tamarack {

/**
 * Decides which teams give way when a service runs short of capacity, from this host's own recent requests.
 *
 * Load pattern: one team sends several times its usual load. The queue at the targets grows until requests of
 * all teams are refused alike, in proportion to what they send, so that the small teams lose requests because
 * of the large one. Instead, teams above their max-min share of the work that is being admitted are refused
 * at a shorter queue, so that the queue stays acceptable for the others. No team is refused this way once it
 * is served less than half as often as all teams together, so none is starved.
 *
 * Requests are weighted by their expected work, and lose their weight with age.
 */
class team_shares {
public:
    /** A request of a team arrived. @param work  its expected work */
    void on_arrival(time_point now, const std::string& team, double work);
    /** The request that arrived last was admitted. */
    void on_admitted(const std::string& team, double work);
    /** @return whether a team is above its share, so that its requests are refused before those of others */
    bool gives_way(time_point now, const std::string& team);

    /** @return fraction of the recent requests' work that a team has sent */
    double fraction_of(const std::string& team) const;
    /** @return number of teams that are remembered */
    std::size_t teams() const { return m_teams.size(); }

private:
    /** Sums, weighted by age. */
    struct sums {
        double requests = 0.0;
        double offered = 0.0;  ///< work
        double admitted = 0.0; ///< work
    };

    void advance(time_point now);
    double fair_level();

    std::unordered_map<std::string, sums> m_teams;
    sums m_all;
    time_point m_scale_at{};  ///< time at which a request had the weight 1
    double m_weight = 1.0;    ///< of a request that arrives now; weights grow instead of decaying
    double m_level = 0.0;     ///< as of m_level_until
    time_point m_level_until; ///< the level is computed again after this
};

} // namespace tamarack
