#include "state_comparison.h"

#include <algorithm>

namespace tamarack {

namespace {

std::uint64_t mix(std::uint64_t hash, std::uint64_t value) {
    constexpr std::uint64_t odd_constant = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned shift = 29;
    const std::uint64_t mixed = (hash ^ value) * odd_constant;
    return mixed ^ (mixed >> shift);
}

std::uint32_t fold(std::uint64_t hash) {
    constexpr unsigned half = 32;
    return static_cast<std::uint32_t>(hash ^ (hash >> half));
}

std::uint64_t key_of(const host_record& record) {
    return stable_hash(record.host.value());
}

std::uint64_t key_of(const target_record& record) {
    constexpr std::uint64_t target_seed = 1;
    return stable_hash(record.latest.target.value(), target_seed);
}

std::uint32_t hash_of(const host_record& record) {
    const bool running = is_running(record.state);
    const std::uint64_t flags = (running ? 1U : 0U) + (record.draining ? 2U : 0U);
    return fold(mix(mix(mix(key_of(record), record.incarnation.value), record.version), flags));
}

std::uint32_t hash_of(const target_record& record) {
    const std::uint64_t registrar = stable_hash(record.registrar.value());
    const std::uint64_t drains = record.latest.state == target_state::draining ? 1 : 0;
    const std::uint64_t state = mix(mix(record.version, registrar), drains);
    return fold(
        mix(mix(mix(key_of(record), record.incarnation_order), record.latest.incarnation.value), state));
}

template <typename Record>
std::size_t group_of(const Record& record) {
    return key_of(record) % state_groups;
}

} // namespace

std::vector<std::uint32_t> state_comparison::hashes(time_point now, const view& state,
                                                    std::size_t first_group) {
    std::vector<std::uint32_t> all(state_groups, 0);
    all[group_of(state.self)] ^= hash_of(state.self);
    for (const auto& [host, entry] : state.hosts.peers()) {
        const bool compared = is_running(entry.record.state) && entry.changed_at + settling_time <= now;
        if (compared) {
            all[group_of(entry.record)] ^= hash_of(entry.record);
        }
    }
    state.targets.for_each([&](const target_record& record, time_point changed_at) {
        const bool compared = record.alive && changed_at + settling_time <= now;
        if (compared) {
            all[group_of(record)] ^= hash_of(record);
        }
    });
    all.erase(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(std::min(first_group, all.size())));
    return all;
}

std::uint32_t state_comparison::registered_hash(const view& state, const host_id& registrar) {
    std::uint32_t hash = 0;
    state.targets.for_each([&](const target_record& record, time_point /*changed_at*/) {
        if (record.alive && record.registrar == registrar) {
            hash ^= fold(key_of(record));
        }
    });
    return hash;
}

membership_updates state_comparison::records_of(const view& state, const std::set<std::size_t>& groups) {
    membership_updates records;
    if (groups.count(group_of(state.self)) > 0) {
        records.hosts.push_back(state.self);
    }
    for (const auto& [host, entry] : state.hosts.peers()) {
        if (groups.count(group_of(entry.record)) > 0) {
            records.hosts.push_back(entry.record);
        }
    }
    state.targets.for_each([&](const target_record& record, time_point /*changed_at*/) {
        if (groups.count(group_of(record)) > 0) {
            records.targets.push_back(record);
            records.targets.back().latest.load = {};
        }
    });
    return records;
}

sync_reply state_comparison::answer(time_point now, const view& state, const sync_request& request,
                                    std::size_t max_count) {
    sync_reply reply;
    reply.number = request.number;
    reply.from = state.self.host;
    const std::vector<std::uint32_t> own = hashes(now, state, request.first_group);
    const std::size_t compared = std::min(own.size(), request.hashes.size());
    const std::size_t records = state.hosts.peers().size() + state.targets.size() + 1;
    const std::size_t max_groups = std::max<std::size_t>(1, max_count * state_groups / records);
    std::set<std::size_t> differing;
    std::size_t index = 0;
    for (; index < compared && differing.size() < max_groups; ++index) {
        if (own[index] != request.hashes[index]) {
            differing.insert(request.first_group + index);
        }
    }
    reply.next_group = index < compared ? request.first_group + index : state_groups;
    reply.differ.assign(differing.begin(), differing.end());
    reply.records = differing.empty() ? membership_updates{} : records_of(state, differing);
    reply.lists_registered =
        request.first_group == 0 && registered_hash(state, state.self.host) != request.registered_hash;
    if (reply.lists_registered) {
        for (const target_record& record : state.targets.registered_at(state.self.host)) {
            reply.registered.push_back(record.latest.target);
        }
    }
    return reply;
}

} // namespace tamarack
