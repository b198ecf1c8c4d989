#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/**
 * Safety mechanisms that tests disable to verify that the check of their invariant detects it. Always enabled
 * in the daemon.
 */
struct raft_protections {
    bool pre_vote = true;
    bool check_quorum = true;
    bool reply_after_sync = true;
    bool commit_own_term_only = true;
    bool one_change_at_a_time = true;
    bool incarnation_check = true;
    bool confirm_reads = true;
};

/** Times and limits of a member. */
struct raft_options {
    duration heartbeat = 100ms;
    duration election_timeout = 600ms; ///< each wait is drawn from one to two times this value
    std::size_t max_entries_per_message = 256;
    std::size_t max_bytes_per_message = std::size_t{256} * 1024;
    std::size_t snapshot_part_bytes = std::size_t{128} * 1024;
    std::size_t max_uncommitted_proposals = 4'096; ///< further proposals are refused as overloaded
    raft_protections protections;
};

} // namespace tamarack
