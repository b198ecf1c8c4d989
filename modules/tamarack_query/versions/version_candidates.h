#pragma once

#include "../targets/replica.h"

#include <vector>

namespace tamarack {

/**
 * An index version that a query could use, and how many of its shards hold it.
 *
 * A shard holds a version if one of its usable replicas does.
 */
struct version_candidate {
    offered_version offered;
    std::vector<shard_id> shards; ///< shards of its map
    std::size_t held_shards = 0;  ///< how many of these hold the version
};

/**
 * Lists the versions that replicas offer under a map of the service, newest first.
 *
 * A version is newer than another if more replicas list it after the other one than before it.
 */
std::vector<version_candidate> list_versions(const service_definition& service,
                                             const std::vector<replica_pointer>& replicas, time_point now);

/**
 * Chooses the index version for all parts of an answer: the one held by the largest share of its shards, and
 * the newest of those with an equal share.
 *
 * @param candidates      newest first
 * @param least_coverage  share of the shards that must hold the version
 * @return the version, or nullptr if none reaches the least coverage
 */
const version_candidate* choose_version(const std::vector<version_candidate>& candidates,
                                        double least_coverage);

} // namespace tamarack
