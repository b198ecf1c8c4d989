#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** State of a target as it announces it. */
enum class target_state {
    starting, ///< cannot serve requests yet
    ready,
    draining, ///< finishes its requests and accepts no new ones
};

template <>
struct name_table<target_state> {
    static constexpr std::array<std::pair<target_state, std::string_view>, 3> entries{{
        {target_state::starting, "starting"},
        {target_state::ready, "ready"},
        {target_state::draining, "draining"},
    }};
};

/** An index version that a target can serve, and the shard map that it belongs to. */
struct served_version {
    index_version version;
    std::string map;

    bool operator==(const served_version&) const = default;
};

/** Load reported by a target; only a hint, since it may be outdated. */
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    bool operator==(const reported_load&) const = default;
};

/** A target's announcement, repeated as a heartbeat. */
struct announcement {
    target_id target;
    incarnation_id incarnation; ///< chosen by the target's process when it starts
    std::uint64_t sequence = 0; ///< increases with each announcement of one incarnation
    endpoint address;
    data_center_id data_center;
    service_id service;
    shard_id shard;
    std::uint32_t replica = 0;            ///< ordinal of this replica within its shard
    std::vector<served_version> versions; ///< newest last
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    target_state state = target_state::starting;
    reported_load load;
    duration remaining_warmup{0}; ///< for this long, the target is still slow after its start

    bool operator==(const announcement&) const = default;
};

/**
 * Reports that only the load has changed since the last announcement of the same incarnation.
 *
 * Uses the same sequence numbers as announcements. A host at which the target is not registered in this
 * incarnation asks for a full announcement.
 */
struct target_heartbeat {
    target_id target;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    reported_load load;

    bool operator==(const target_heartbeat&) const = default;
};

} // namespace tamarack
