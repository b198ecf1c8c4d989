#include "version_candidates.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

using offered_list = std::vector<offered_version>;

std::ptrdiff_t position_of(const offered_list& list, const offered_version& wanted) {
    const auto found = std::find(list.begin(), list.end(), wanted);
    return found == list.end() ? -1 : found - list.begin();
}

bool is_newer(const offered_version& left, const offered_version& right,
              const std::vector<replica_pointer>& replicas) {
    std::ptrdiff_t votes = 0;
    for (const auto& replica : replicas) {
        const auto left_position = position_of(replica->view.versions, left);
        const auto right_position = position_of(replica->view.versions, right);
        if (left_position >= 0 && right_position >= 0) {
            votes += left_position > right_position ? 1 : -1;
        }
    }
    return votes > 0;
}

std::vector<offered_version> distinct_versions(const std::vector<replica_pointer>& replicas) {
    std::vector<offered_version> distinct;
    for (const auto& replica : replicas) {
        for (const auto& offered : replica->view.versions) {
            if (std::find(distinct.begin(), distinct.end(), offered) == distinct.end()) {
                distinct.push_back(offered);
            }
        }
    }
    return distinct;
}

const shard_map* find_map(const service_definition& service, const std::string& name) {
    for (const auto& map : service.maps) {
        if (map.name == name) {
            return &map;
        }
    }
    return nullptr;
}

std::size_t count_held(const version_candidate& candidate, const std::vector<replica_pointer>& replicas,
                       time_point now) {
    std::set<shard_id> held;
    for (const auto& replica : replicas) {
        if (replica->listed && !replica->leaving && replica->holds(candidate.offered, now)) {
            held.insert(replica->view.shard);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(candidate.shards.begin(), candidate.shards.end(),
                      [&held](const shard_id& shard) { return held.contains(shard); }));
}

std::size_t count_older(const offered_version& version, const std::vector<offered_version>& all,
                        const std::vector<replica_pointer>& replicas) {
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const offered_version& other) {
        return other != version && is_newer(version, other, replicas);
    }));
}

} // namespace

std::vector<version_candidate> list_versions(const service_definition& service,
                                             const std::vector<replica_pointer>& replicas, time_point now) {
    const auto distinct = distinct_versions(replicas);
    std::vector<std::pair<std::size_t, version_candidate>> ranked;
    for (const auto& offered : distinct) {
        const shard_map* map = find_map(service, offered.map);
        if (map == nullptr || map->shards.empty()) {
            continue;
        }
        version_candidate candidate{offered, map->shards, 0};
        candidate.held_shards = count_held(candidate, replicas, now);
        ranked.emplace_back(count_older(offered, distinct, replicas), std::move(candidate));
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<version_candidate> listed;
    listed.reserve(ranked.size());
    for (auto& entry : ranked) {
        listed.push_back(std::move(entry.second));
    }
    return listed;
}

const version_candidate* choose_version(const std::vector<version_candidate>& candidates,
                                        double least_coverage) {
    const version_candidate* best = nullptr;
    double best_share = 0;
    for (const auto& candidate : candidates) {
        const double share =
            static_cast<double>(candidate.held_shards) / static_cast<double>(candidate.shards.size());
        if (share > best_share) {
            best = &candidate;
            best_share = share;
        }
    }
    return best != nullptr && best_share >= least_coverage ? best : nullptr;
}

} // namespace tamarack
