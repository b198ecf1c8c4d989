#include "voter_plan.h"

#include <algorithm>

namespace tamarack {

namespace {

const voter_candidate* find_host(const std::vector<voter_candidate>& candidates, const host_id& host) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const voter_candidate& item) { return item.member.host == host; });
    return found == candidates.end() ? nullptr : &*found;
}

bool is_voter(const log_members& members, const host_id& host) {
    return std::any_of(members.voters.begin(), members.voters.end(),
                       [&](const member_id& voter) { return voter.host == host; });
}

/** @return the number of voters in a data centre */
std::size_t voters_in(const log_members& members, const std::vector<voter_candidate>& candidates,
                      const data_center_id& data_center) {
    return static_cast<std::size_t>(
        std::count_if(members.voters.begin(), members.voters.end(), [&](const member_id& voter) {
            const voter_candidate* known = find_host(candidates, voter.host);
            return known != nullptr && known->data_center == data_center;
        }));
}

/** @return the best host to add: one in the data centre with the fewest voters */
const voter_candidate* choose_addition(const log_members& members,
                                       const std::vector<voter_candidate>& candidates,
                                       const voter_plan_options& options) {
    const voter_candidate* best = nullptr;
    std::size_t min_voters = 0;
    for (const voter_candidate& candidate : candidates) {
        if (candidate.silent_for > options.max_candidate_silence ||
            is_voter(members, candidate.member.host)) {
            continue;
        }
        const std::size_t voters_there = voters_in(members, candidates, candidate.data_center);
        if (best == nullptr || voters_there < min_voters) {
            best = &candidate;
            min_voters = voters_there;
        }
    }
    return best;
}

} // namespace

std::optional<std::vector<member_id>> plan_voters(const log_members& members,
                                                  const std::vector<voter_candidate>& candidates,
                                                  const voter_plan_options& options) {
    if (!members.learners.empty()) {
        return std::nullopt;
    }
    const std::size_t wanted = 2U * options.tolerated_losses + 1U;
    const auto lost = std::find_if(members.voters.begin(), members.voters.end(), [&](const member_id& voter) {
        const voter_candidate* known = find_host(candidates, voter.host);
        return known == nullptr || known->silent_for >= options.replace_after;
    });
    const bool has_lost = lost != members.voters.end();
    std::vector<member_id> next = members.voters;
    if (has_lost && members.voters.size() > wanted) {
        std::erase(next, *lost);
        return next;
    }
    if (!has_lost && members.voters.size() >= wanted) {
        return std::nullopt;
    }
    const voter_candidate* addition = choose_addition(members, candidates, options);
    if (addition == nullptr) {
        return std::nullopt;
    }
    next.push_back(addition->member);
    std::sort(next.begin(), next.end());
    return next;
}

} // namespace tamarack
