#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

/** A control host, as known to the leader. */
struct voter_candidate {
    member_id member; ///< its current incarnation
    data_center_id data_center;
    duration silent_for{}; ///< time since the last message from it
};

/** Limits for the choice of voters. */
struct voter_plan_options {
    std::uint32_t tolerated_losses = 1;  ///< voters that may be lost at the same time
    duration replace_after = 3s;         ///< a voter that is silent for this long is replaced
    duration max_candidate_silence = 2s; ///< a host that was silent for longer doesn't become a voter
};

/**
 * Plans changes of the voters without an operator, so that there are twice the tolerated losses plus one of
 * them.
 *
 * An even number of voters loses its majority when a partition divides them into halves, so further control
 * hosts don't become voters until a voter is lost. The successor of a lost voter is added first, and the lost
 * voter is removed afterwards: one change at a time, each made by a working majority.
 *
 * @param members     current voters and learners
 * @param candidates  all known control hosts, voters included
 * @return the voters to request next, or nothing when no change is needed
 */
std::optional<std::vector<member_id>> plan_voters(const log_members& members,
                                                  const std::vector<voter_candidate>& candidates,
                                                  const voter_plan_options& options = {});

} // namespace tamarack
