#pragma once

#include <string>

namespace tamarack {

/**
 * Measures the time from the kill of a leader until another has committed an entry, over many seeds in
 * virtual time.
 */
void measure_leader_replacement();

/**
 * Measures a member without peers on a real journal: entries per second by number of concurrent proposals,
 * restart time, and size of the folder before and after a snapshot.
 *
 * @param folder  an empty folder on the disk to measure
 */
void measure_journal(const std::string& folder);

/**
 * Measures the processor time and message bytes of a leader per entry and per heartbeat, with their increase
 * per follower.
 */
void measure_leader_cost();

} // namespace tamarack
