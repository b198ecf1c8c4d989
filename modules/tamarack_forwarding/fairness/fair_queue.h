#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace tamarack {

/**
 * Assigns start tags to the work of teams by start-time fair queueing.
 *
 * Load pattern: one team sends ten times as many requests as each of seventy others, and more than the
 * targets can process. In order of arrival, ten of eleven free connections would go to that team. Work is
 * served by ascending start tag instead: a team's tag advances by the work that it has requested, so that
 * teams with waiting work are served in turn. A new or idle team starts at the tag that is being served, so
 * that it neither waits behind the others' backlog nor saves up a claim.
 */
class fair_queue {
public:
    /** @param work  expected time of the work, greater than 0 @return start tag of the work */
    double start(const std::string& team, double work);
    /** Work with this start tag is being processed. */
    void on_served(double start_tag);
    /** Work that was given a start tag will not be processed; its team isn't charged for it. */
    void on_withdrawn(const std::string& team, double work);

    /** @return number of teams that are remembered */
    std::size_t teams() const { return m_finish.size(); }

private:
    void forget_idle_teams();

    double m_virtual_time = 0.0;
    std::unordered_map<std::string, double> m_finish; ///< finish tag of each team's last work
    std::size_t m_forget_at = 64;                     ///< number of teams at which idle ones are removed
};

} // namespace tamarack
