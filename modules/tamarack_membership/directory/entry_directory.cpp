#include "entry_directory.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace tamarack {

namespace {

/** Preference for listing a host; smaller values are better. */
enum class entry_rank {
    assigned_alive,
    assigned_suspect,
    other_alive,
    assigned_draining,
    other_draining,
    excluded,
};

entry_rank rank_of(const host_record& record, bool assigned) {
    const bool gone = record.state == host_state::dead || record.state == host_state::left;
    if (gone || record.callers_address.empty()) {
        return entry_rank::excluded;
    }
    if (record.draining) {
        return assigned ? entry_rank::assigned_draining : entry_rank::other_draining;
    }
    if (!assigned) {
        return entry_rank::other_alive;
    }
    return record.state == host_state::alive ? entry_rank::assigned_alive : entry_rank::assigned_suspect;
}

struct ranked_host {
    entry_rank rank = entry_rank::excluded;
    bool far = false;
    std::uint64_t order = 0;
    endpoint address;

    auto key() const { return std::tie(rank, far, order, address); }
};

std::uint64_t rotation(const host_record& record, std::uint64_t caller) {
    return stable_hash(record.host.value(), caller);
}

std::vector<ranked_host> rank_hosts(const directory_view& view, const std::vector<host_id>& assigned,
                                    const data_center_id& near, std::uint64_t caller) {
    std::vector<ranked_host> ranked;
    for (const host_record& record : view.hosts) {
        const bool is_assigned = std::find(assigned.begin(), assigned.end(), record.host) != assigned.end();
        const entry_rank rank = rank_of(record, is_assigned);
        if (rank != entry_rank::excluded) {
            const bool far = !near.empty() && record.data_center != near;
            ranked.push_back({rank, far, rotation(record, caller), record.callers_address});
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_host& left, const ranked_host& right) { return left.key() < right.key(); });
    return ranked;
}

/** Assigned hosts are listed together; other hosts are listed only if no assigned host is left. */
bool same_tier(entry_rank best, entry_rank rank) {
    return rank == best || (best == entry_rank::assigned_alive && rank == entry_rank::assigned_suspect);
}

constexpr std::size_t max_addresses = 8;
constexpr int fallback_ttl_divisor = 4;

} // namespace

outcome<directory_answer> find_entries(const directory_view& view, const service_id& service,
                                       const data_center_id& near, std::uint64_t caller, duration ttl) {
    const auto found = view.assigned.services.find(service);
    if (found == view.assigned.services.end()) {
        return error{error_code::not_found, "unknown service " + service.value()};
    }
    const std::vector<ranked_host> ranked = rank_hosts(view, found->second, near, caller);
    if (ranked.empty()) {
        return error{error_code::unavailable, "no entry host is known to be running"};
    }
    directory_answer answer;
    answer.ticket = view.ticket;
    const entry_rank best = ranked.front().rank;
    for (const ranked_host& candidate : ranked) {
        if (same_tier(best, candidate.rank) && answer.addresses.size() < max_addresses) {
            answer.addresses.push_back(candidate.address);
        }
    }
    const bool fallback = best != entry_rank::assigned_alive;
    answer.ttl = fallback ? ttl / fallback_ttl_divisor : ttl;
    return answer;
}

} // namespace tamarack
