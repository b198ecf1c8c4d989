#pragma once

#include "fake_cluster.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/** What happens to a cluster at one moment of a scenario. */
enum class scenario_step {
    propose,
    read,
    compact_log,
    crash,
    restart_all_hosts, ///< a loss of power everywhere; all start again at once
    start,
    cut_one_way,
    isolate,
    heal,
    degrade_network, ///< loss, duplicates and long delays from now on
    restore_network,
    empty,  ///< only while every host is a voter, so that one folder at a time is lost
    remove, ///< the leader removes another host from the voters
    add,    ///< the leader adds a host that is no voter
    transfer_leadership,
};

constexpr std::size_t scenario_steps = static_cast<std::size_t>(scenario_step::transfer_leadership) + 1;

/** Small bounds, so that parts, batches and refusals occur often. */
raft_options tight_options();

/** Runs drawn events on a cluster of one seed, then settles it. @return the violations */
std::vector<std::string> random_run(std::uint64_t seed, std::size_t size, const raft_options& options);

/** A step, the hosts that it concerns, and the time that passes after it. */
struct scenario_event {
    scenario_step step = scenario_step::propose;
    std::size_t host = 0;
    std::size_t other = 0;
    duration pause{};
};

/** @return events drawn at random, most of them proposals and reads */
std::vector<scenario_event> draw_events(random_source& random, std::size_t count);

/** Carries out the events; proposals and reads go to every host that takes itself for the leader. */
void run_scenario(fake_cluster& cluster, const std::vector<scenario_event>& events);

/**
 * Heals everything and waits until all hosts are voters that have applied all there is; then cuts the power
 * of all at once and waits again, so that each shows what its disk holds. Notes in the checker what doesn't
 * come about.
 */
void settle(fake_cluster& cluster);

} // namespace tamarack
