#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/** Protections that tests switch off to see the check for their invariant bite. Always on in the daemon. */
struct raft_protections {
    bool pre_vote = true;
    bool check_quorum = true;
    bool reply_after_sync = true;
    bool commit_own_term_only = true;
    bool one_change_at_a_time = true;
    bool incarnation_check = true;
    bool confirm_reads = true;
};

/** Times and bounds of a member. */
struct raft_options {
    duration heartbeat = 100ms;
    duration election_timeout = 600ms; ///< each election waits for once to twice this time
    std::size_t max_entries_per_message = 256;
    std::size_t max_bytes_per_message = std::size_t{256} * 1024;
    std::size_t snapshot_part_bytes = std::size_t{128} * 1024;
    std::size_t max_uncommitted_proposals = 4'096; ///< proposals beyond are refused as overloaded
    raft_protections protections;
};

} // namespace tamarack
