#pragma once

#include "../targets/replica.h"

#include <vector>

namespace tamarack {

/** An index version that a query could use, and how much of its map is held by usable replicas. */
struct version_candidate {
    offered_version offered;
    std::vector<shard_id> shards; ///< of its map
    std::size_t held_shards = 0;  ///< how many of them have a usable replica with this version
};

/**
 * Lists the versions that replicas offer under a map of the service, newest first.
 *
 * A version is newer than another when more replicas list it behind the other than the reverse.
 */
std::vector<version_candidate> list_versions(const service_definition& service,
                                             const std::vector<replica_pointer>& replicas, time_point now);

/**
 * Chooses the one version that all parts of an answer come from: the newest that every shard holds, else the
 * one that most shards hold.
 *
 * @param candidates      newest first
 * @param least_coverage  share of shards that must be held
 * @return the version, or nullptr when none reaches the least coverage
 */
const version_candidate* choose_version(const std::vector<version_candidate>& candidates,
                                        double least_coverage);

} // namespace tamarack
