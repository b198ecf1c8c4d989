/**
 * @file
 * Voters, learners and new incarnations.
 *
 * Only one members entry is in progress at a time: the next one is appended only after the previous one is
 * committed and the leader has committed an entry of its own term.
 *
 * A host whose data folder is new is replaced in this order: its new incarnation becomes a learner; once the
 * learner has caught up, the old incarnation is removed from the voters; once that is committed, the new one
 * is added. If the new one were added first, the lost incarnation and the new one would both count as voters:
 * with three hosts, every commit would need both other hosts and the repaired host, which is the most likely
 * to fail again. Its second loss would leave two of four voters, which can't elect a leader. If the old
 * incarnation is removed first, each accepted entry is on all remaining voters when the removal is committed
 * or on a majority of them afterwards, the learner has it too, and the repaired host is never needed for a
 * quorum before it has caught up. Exchanging both in one entry is not possible: a majority of the old voters
 * that includes a vote of the lost incarnation, still in flight, need not intersect a majority of the new
 * voters.
 */
#include "raft_implementation.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Number of election timeouts without a reply until a learner is removed, if its host also has a voter. */
constexpr int abandoned_learner_timeouts = 10;

bool contains(const std::vector<member_id>& members, const member_id& member) {
    return std::ranges::find(members, member) != members.end();
}

std::vector<member_id> difference(const std::vector<member_id>& left, const std::vector<member_id>& right) {
    std::vector<member_id> only_left;
    std::ranges::copy_if(left, std::back_inserter(only_left),
                         [&right](const member_id& member) { return !contains(right, member); });
    return only_left;
}

void erase_host(std::vector<member_id>& members, const host_id& host) {
    std::erase_if(members, [&host](const member_id& member) { return member.host == host; });
}

bool has_host(const std::vector<member_id>& members, const host_id& host) {
    return std::ranges::any_of(members, [&host](const member_id& member) { return member.host == host; });
}

bool hosts_are_distinct(std::vector<member_id> members) {
    std::ranges::sort(members);
    const auto same = [](const member_id& left, const member_id& right) { return left.host == right.host; };
    return std::ranges::adjacent_find(members, same) == members.end();
}

} // namespace

outcome<done> raft_node::implementation::bootstrap(std::vector<member_id> voters) {
    const bool voted = m_vote.term > 1 || (m_vote.term == 1 && m_vote.voted_for != m_self);
    if (m_storage_failed || !m_log.empty() || voted || m_has_seen_history) {
        return error{error_code::conflict, "this host already belongs to a history"};
    }
    if (!allowed_to_vote() || !contains(voters, m_self) || !hosts_are_distinct(voters)) {
        return error{error_code::invalid_argument,
                     "the voters of a first history must be different hosts and include this host with "
                     "its present incarnation"};
    }
    std::ranges::sort(voters);
    m_log.append({1, 1, entry_kind::members, {}, {std::move(voters), {}}});
    set_vote({1, m_self});
    refresh_role();
    m_election_deadline = m_now;
    return done{};
}

bool raft_node::implementation::members_settled() const {
    return own_term_committed() && m_log.members_index() <= m_committed;
}

outcome<done> raft_node::implementation::change_voters(std::vector<member_id> wanted) {
    if (m_role != raft_role::leader) {
        return error{error_code::not_leader, "this member doesn't lead the log"};
    }
    std::ranges::sort(wanted);
    const std::vector<member_id> added = difference(wanted, m_log.members().voters);
    if (m_options.protections.one_change_at_a_time) {
        if (auto allowed = check_change(wanted); !succeeded(allowed)) {
            return allowed;
        }
    }
    if (!added.empty() && m_options.protections.one_change_at_a_time) {
        append_members({m_log.members().voters, added});
    } else if (log_members members{std::move(wanted), {}}; members != m_log.members()) {
        append_members(std::move(members));
    }
    return done{};
}

outcome<done> raft_node::implementation::check_change(const std::vector<member_id>& wanted) const {
    const log_members& members = m_log.members();
    const std::vector<member_id> added = difference(wanted, members.voters);
    const std::vector<member_id> removed = difference(members.voters, wanted);
    const bool abandons_change = added.empty() && removed.empty();
    if (!members_settled() || (!members.learners.empty() && !abandons_change)) {
        return error{error_code::conflict, "another change of members is under way"};
    }
    const bool one_host = added.size() <= 1 && removed.size() <= 1 &&
                          (added.empty() || removed.empty() || added.front().host == removed.front().host);
    if (!one_host || wanted.empty() || !hosts_are_distinct(wanted)) {
        return error{error_code::invalid_argument,
                     "wanted voters must be distinct hosts and differ from the present ones by one host"};
    }
    if (!removed.empty() && !has_responsive_quorum(wanted)) {
        return error{error_code::not_ready, "too few of the remaining voters answer at present"};
    }
    return done{};
}

void raft_node::implementation::append_members(log_members members) {
    append({0, 0, entry_kind::members, {}, std::move(members)});
    refresh_progress();
    broadcast();
}

void raft_node::implementation::refresh_progress() {
    const log_members& members = m_log.members();
    std::erase_if(m_progress, [&members](const auto& known) {
        return !contains(members.voters, known.first) && !contains(members.learners, known.first);
    });
    const auto add = [this](const member_id& member) {
        if (!same_member(member, m_self) && !m_progress.contains(member)) {
            follower_progress progress;
            progress.next = m_log.last().index + 1;
            progress.last_reply_at = m_now;
            m_progress.emplace(member, std::move(progress));
        }
    };
    std::ranges::for_each(members.voters, add);
    std::ranges::for_each(members.learners, add);
}

bool raft_node::implementation::is_responsive(const member_id& member) const {
    const auto known = m_progress.find(member);
    const bool heard_recently =
        known != m_progress.end() && m_now - known->second.last_reply_at < m_options.election_timeout;
    return same_member(member, m_self) ||
           (heard_recently && is_counted(member) && !m_replaced.contains(member));
}

bool raft_node::implementation::is_counted(const member_id& member) const {
    return !m_excluded.contains(member);
}

bool raft_node::implementation::has_responsive_quorum(const std::vector<member_id>& voters) const {
    const auto answering =
        std::ranges::count_if(voters, [this](const member_id& voter) { return is_responsive(voter); });
    return static_cast<std::size_t>(answering) > voters.size() / 2;
}

bool raft_node::implementation::is_caught_up(const member_id& learner) const {
    const auto known = m_progress.find(learner);
    return known != m_progress.end() && known->second.match >= m_committed && is_responsive(learner);
}

void raft_node::implementation::advance_membership() {
    if (m_role != raft_role::leader || !members_settled() || m_successor) {
        return;
    }
    const std::vector<member_id> learners = m_log.members().learners;
    for (const member_id& learner : learners) {
        if (is_caught_up(learner)) {
            promote(learner);
            return;
        }
        if (is_stale(learner)) {
            log_members members = m_log.members();
            std::erase(members.learners, learner);
            append_members(std::move(members));
            return;
        }
    }
}

bool raft_node::implementation::is_stale(const member_id& learner) const {
    const auto known = m_progress.find(learner);
    const bool silent =
        known == m_progress.end() ||
        m_now - known->second.last_reply_at > abandoned_learner_timeouts * m_options.election_timeout;
    return silent && has_host(m_log.members().voters, learner.host);
}

void raft_node::implementation::promote(const member_id& learner) {
    log_members members = m_log.members();
    if (has_host(members.voters, learner.host)) {
        erase_host(members.voters, learner.host);
        if (!has_responsive_quorum(members.voters)) {
            return;
        }
    } else {
        std::erase(members.learners, learner);
        members.voters.push_back(learner);
        std::ranges::sort(members.voters);
    }
    append_members(std::move(members));
}

void raft_node::implementation::send_join_request(const member_id& to) {
    const log_members& members = m_log.members();
    const bool is_member = contains(members.voters, m_self) || contains(members.learners, m_self);
    if (allowed_to_vote() && is_member) {
        return;
    }
    send(to, join_request{m_log.last().index});
}

void raft_node::implementation::on_join_request(const member_id& from, const join_request& /*request*/) {
    log_members members = m_log.members();
    if (contains(members.voters, from)) {
        m_self_excluded.insert(from);
        return;
    }
    for (const member_id& voter : members.voters) {
        if (voter.host == from.host) {
            m_replaced.insert(voter);
        }
    }
    const bool known_host = has_host(members.voters, from.host) || has_host(members.learners, from.host);
    if (m_role != raft_role::leader || !members_settled() || !known_host ||
        contains(members.learners, from)) {
        return;
    }
    erase_host(members.learners, from.host);
    members.learners.push_back(from);
    append_members(std::move(members));
}

std::vector<member_id> raft_node::implementation::excluded_voters() const {
    std::vector<member_id> excluded;
    std::ranges::copy_if(
        m_log.members().voters, std::back_inserter(excluded),
        [this](const member_id& voter) { return !is_counted(voter) || m_self_excluded.contains(voter); });
    return excluded;
}

std::vector<member_id> raft_node::implementation::replaced_voters() const {
    std::vector<member_id> replaced;
    std::ranges::copy_if(m_log.members().voters, std::back_inserter(replaced),
                         [this](const member_id& voter) { return m_replaced.contains(voter); });
    return replaced;
}

bool raft_node::implementation::quorum_lost() const {
    const std::size_t voters = m_log.members().voters.size();
    return voters > 0 && voters - replaced_voters().size() < majority();
}

} // namespace tamarack
