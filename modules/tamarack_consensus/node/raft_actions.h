#pragma once

#include "../messages/raft_message.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace tamarack {

/** Role of a member. */
enum class raft_role {
    follower,
    candidate,
    leader,
    learner, ///< not a voter, or not allowed to vote at present
};

template <>
struct name_table<raft_role> {
    static constexpr std::array<std::pair<raft_role, std::string_view>, 4> entries{{
        {raft_role::follower, "follower"},
        {raft_role::candidate, "candidate"},
        {raft_role::leader, "leader"},
        {raft_role::learner, "learner"},
    }};
};

/** Send a message; it may be lost. */
struct send_message {
    raft_envelope envelope;
};

/**
 * Make a change durable, then call raft_node::on_persisted with its number. Changes are stored in order. If
 * that fails, call raft_node::on_persist_failed and try again.
 */
struct persist_change {
    std::uint64_t number = 0;
    std::optional<durable_vote> vote;
    log_index truncate_from = 0; ///< 0 truncates nothing
    std::vector<log_entry> entries;
    std::optional<log_snapshot> snapshot;
};

/**
 * Apply committed entries, in order. No index is passed twice during the lifetime of the process; those
 * within a restored snapshot are not passed.
 */
struct apply_entries {
    std::vector<log_entry> entries;
};

/** Replace the application's state with a snapshot. */
struct restore_snapshot {
    log_snapshot snapshot;
};

/** A read may be answered from the current state, to which all entries up to an index have been applied. */
struct read_confirmed {
    std::uint64_t read = 0;
    log_index index = 0;
    time_point asked_at; ///< time of the request; leadership was confirmed at this time or later
};

/** The read can't be confirmed by this member. */
struct read_refused {
    std::uint64_t read = 0;
};

/** Role, term or known leader changed. */
struct role_changed {
    raft_role role = raft_role::follower;
    log_term term = 0;
    std::optional<member_id> leader;
};

/** Action that the caller must carry out after an event, in the given order. */
using raft_action = std::variant<send_message, persist_change, apply_entries, restore_snapshot,
                                 read_confirmed, read_refused, role_changed>;
using raft_actions = std::vector<raft_action>;

} // namespace tamarack
