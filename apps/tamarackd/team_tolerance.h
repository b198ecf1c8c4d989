#pragma once

#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_teams/tamarack_teams.h>

namespace tamarack {

/** @return by how much teams may exceed their limits, from the host's settings */
inline limit_tolerance team_tolerance_of(const settings& host_settings) {
    const team_settings& teams = host_settings.teams;
    return {std::chrono::duration<double>(teams.limit_window).count(), teams.limit_overage,
            teams.limit_slack};
}

} // namespace tamarack
