#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>

namespace tamarack {

/**
 * Safety mechanisms. Tests disable them to verify that the checks of the invariants that they protect then
 * fail. Always enabled in the daemon.
 */
struct raft_protections {
    bool pre_vote = true;             ///< a member requests pre-votes before it increases its term
    bool check_quorum = true;         ///< a leader without a responsive majority steps down
    bool reply_after_sync = true;     ///< messages wait until the state that they report is durable
    bool commit_own_term_only = true; ///< a leader commits older entries only with one of its own term
    bool one_change_at_a_time = true; ///< voters change by one host at a time
    bool incarnation_check = true;    ///< incarnations of a host count as different members
    bool confirm_reads = true;        ///< a majority confirms leadership before a read is answered
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
