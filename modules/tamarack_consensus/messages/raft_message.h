#pragma once

#include "../state/log_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** Asks for a vote; with `pre_vote` only whether one would be given, which changes nothing. */
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

/** The leader's entries for a follower; also its heartbeat and its round of read confirmation. */
struct append_request {
    log_term term = 0;
    log_position previous;
    std::vector<log_entry> entries;
    log_index committed = 0;
    std::uint64_t round = 0; ///< returned in the reply; confirms leadership at the time of sending
};

/** Answers an append_request, once the entries are durable. */
struct append_reply {
    log_term term = 0;
    bool matched = false;
    log_index match = 0;   ///< when matched: last index known equal to the leader's
    log_position conflict; ///< when not: where the follower's conflicting term begins, or its end
    log_index last = 0;    ///< the follower's last durable index
    std::uint64_t round = 0;
};

/** A part of the leader's snapshot for a follower that lags behind the log's start. */
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

/** A new incarnation asks the leader to be made a member in its host's old place. */
struct join_request {
    log_index last = 0;
};

/** Asks the most advanced voter to begin an election at once, when a leader hands over. */
struct election_request {
    log_term term = 0;
};

/** Content of a message between members. */
using raft_message = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request,
                                  snapshot_reply, join_request, election_request>;

/** A message with its sender and receiver. */
struct raft_envelope {
    member_id from;
    member_id to; ///< an empty incarnation addresses whichever incarnation the host has
    raft_message message;
};

} // namespace tamarack
