#pragma once

#include "fake_cluster.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/** Kind of event in a scenario. */
enum class scenario_step {
    propose,
    read,
    compact_log,
    crash,
    restart_all_hosts, ///< all hosts lose power and start again at once
    start,
    cut_one_way,
    isolate,
    heal,
    degrade_network, ///< loss, duplicates and long delays from now on
    restore_network,
    empty,  ///< only while every host is a voter, so that only one folder is lost at a time
    remove, ///< the leader removes another host from the voters
    add,    ///< the leader adds a host that is no voter
    transfer_leadership,
    fail_disk,    ///< the disk refuses every write from now on
    restore_disk, ///< and takes them again
};

constexpr std::size_t scenario_steps = static_cast<std::size_t>(scenario_step::restore_disk) + 1;

/** Small limits, so that parts, batches and refusals occur often. */
raft_options tight_options();

/** Runs random events on a cluster, then settles it. @return the violations */
std::vector<std::string> random_run(std::uint64_t seed, std::size_t size, const raft_options& options);

/** A kind of event, the hosts that it concerns, and the time that passes after it. */
struct scenario_event {
    scenario_step step = scenario_step::propose;
    std::size_t host = 0;
    std::size_t other = 0;
    duration pause{};
};

/** @return events drawn at random, most of them proposals and reads */
std::vector<scenario_event> draw_events(random_source& random, std::size_t count);

/** Carries out the events. Proposals and reads are sent to every host that considers itself the leader. */
void run_scenario(fake_cluster& cluster, const std::vector<scenario_event>& events);

/**
 * Ends all faults and waits until all hosts are voters and have applied all entries. Then all hosts lose
 * power at once, and it waits again, so that each host shows what its disk stores. Records a violation for
 * whatever doesn't happen in time.
 */
void settle(fake_cluster& cluster);

} // namespace tamarack
