#pragma once

#include <tamarack_base/tamarack_base.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace tamarack {

/** Term of a leader. */
using log_term = std::uint64_t;
/** Index of an entry in the log; the first entry has index 1. */
using log_index = std::uint64_t;

/** A member of the log: a host with one incarnation of its data folder. */
struct member_id {
    host_id host;
    incarnation_id incarnation;

    bool operator==(const member_id&) const = default;
    friend std::strong_ordering operator<=>(const member_id& left, const member_id& right) {
        return std::tie(left.host, left.incarnation.value) <=> std::tie(right.host, right.incarnation.value);
    }
};

/** Members of the log. */
struct log_members {
    std::vector<member_id> voters;
    std::vector<member_id> learners; ///< receive the log, but are not counted in majorities

    bool operator==(const log_members&) const = default;
};

/** Kind of an entry's content. */
enum class entry_kind {
    command, ///< a command of the application
    members, ///< a change of members
    no_op,   ///< a new leader's first entry
};

template <>
struct name_table<entry_kind> {
    static constexpr std::array<std::pair<entry_kind, std::string_view>, 3> entries{{
        {entry_kind::command, "command"},
        {entry_kind::members, "members"},
        {entry_kind::no_op, "no_op"},
    }};
};

/** One entry of the log. */
struct log_entry {
    log_term term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::command;
    std::string content;
    log_members members; ///< of a members entry: the members from this entry on

    bool operator==(const log_entry&) const = default;
};

/** Term and index of an entry. */
struct log_position {
    log_term term = 0;
    log_index index = 0;

    bool operator==(const log_position&) const = default;
    friend std::strong_ordering operator<=>(const log_position& left, const log_position& right) {
        return std::tie(left.term, left.index) <=> std::tie(right.term, right.index);
    }
};

/** Term and vote; durable before a member answers a vote request. */
struct durable_vote {
    log_term term = 0;
    std::optional<member_id> voted_for;

    bool operator==(const durable_vote&) const = default;
};

/** The application's state up to a position, with the members at that position. */
struct log_snapshot {
    log_position last;
    log_members members;
    std::string state;

    bool operator==(const log_snapshot&) const = default;
};

/** State recovered from a member's data folder when it starts. */
struct recovered_log {
    durable_vote vote;
    log_snapshot snapshot;
    std::vector<log_entry> entries; ///< those after the snapshot
    bool may_vote = true;           ///< false when the folder was fresh, copied or damaged
    /** The folder was empty: this incarnation never voted, and may vote once it is a voter. */
    bool fresh = false;
};

} // namespace tamarack
