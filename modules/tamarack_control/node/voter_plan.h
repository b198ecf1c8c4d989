#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace tamarack {

/** A control host as the leader knows it. */
struct voter_candidate {
    member_id member; ///< its present incarnation
    data_center_id data_center;
    duration silent_for{}; ///< since it was last heard of
};

/** Bounds of the choice of voters. */
struct voter_plan_options {
    std::uint32_t tolerated_losses = 1;  ///< voters that may be lost at the same time
    duration replace_after = 3s;         ///< a voter that is silent for this long is replaced
    duration max_candidate_silence = 2s; ///< a host heard of within this may become a voter
};

/**
 * Keeps twice the tolerated losses and one as voters, without an operator.
 *
 * An even number of voters would lose its majority when they are cut in halves, so further control hosts take
 * no part until a voter is lost. A lost voter's successor is added first and the lost one removed afterwards:
 * one change at a time, each from a working majority.
 *
 * @param members     present voters and learners
 * @param candidates  all control hosts that are known, voters among them
 * @return the voters to ask for next, or nothing when there is nothing to change
 */
std::optional<std::vector<member_id>> plan_voters(const log_members& members,
                                                  const std::vector<voter_candidate>& candidates,
                                                  const voter_plan_options& options = {});

} // namespace tamarack
