#pragma once

#include "../state/log_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** Requests a vote; with `pre_vote`, asks only whether one would be granted, which changes no state. */
struct vote_request {
    log_term term = 0;
    log_position last;
    bool pre_vote = false;
};

/** Answers a vote_request. */
struct vote_reply {
    log_term term = 0;
    bool granted = false;
    bool pre_vote = false;
};

/** The leader's entries for a follower. Also serves as a heartbeat and for the rounds that confirm reads. */
struct append_request {
    log_term term = 0;
    log_position previous;
    std::vector<log_entry> entries;
    log_index committed = 0;
    std::uint64_t round = 0; ///< returned in the reply, which confirms that the sender led when it sent this
};

/** Answers an append_request, once the entries are durable. */
struct append_reply {
    log_term term = 0;
    bool matched = false;
    log_index match = 0;   ///< if matched: index up to which the follower's log equals the leader's
    log_position conflict; ///< if not: start of the follower's conflicting term; or term 0 and the index
                           ///< after its log's end
    log_index last = 0;    ///< the follower's last durable index
    std::uint64_t round = 0;
};

/** A part of the leader's snapshot, for a follower that needs entries before the start of the log. */
struct snapshot_request {
    log_term term = 0;
    log_position last;
    log_members members;
    std::uint64_t offset = 0;
    std::string part;
    bool final_part = false;
    std::uint64_t round = 0;
};

/** Answers a snapshot_request. */
struct snapshot_reply {
    log_term term = 0;
    std::uint64_t next_offset = 0;
    bool installed = false;
    log_index last = 0;
    std::uint64_t round = 0;
};

/**
 * A new incarnation of a host asks the leader to make it a member in place of the former one. A current
 * voter that sends it reports that it must not be counted.
 */
struct join_request {
    log_index last = 0;
};

/** Asks the most up-to-date voter to start an election at once, when a leader transfers leadership. */
struct election_request {
    log_term term = 0;
};

/** Content of a message between members. */
using raft_message = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request,
                                  snapshot_reply, join_request, election_request>;

/** A message with its sender and receiver. */
struct raft_envelope {
    member_id from;
    member_id to; ///< an empty incarnation addresses any incarnation of the host
    raft_message message;
};

} // namespace tamarack
