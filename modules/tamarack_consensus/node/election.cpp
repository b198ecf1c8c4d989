/**
 * @file
 * Terms, votes and roles.
 *
 * A member requests pre-votes before it increases its term, so that a member that was partitioned doesn't
 * depose a working leader when it returns. It requests real votes only after a majority of pre-votes, or when
 * the leader asks for an election to transfer leadership.
 */
#include "raft_implementation.h"

#include <algorithm>

namespace tamarack {

bool raft_node::implementation::allowed_to_vote() const {
    return !m_storage_failed && (m_may_vote || m_fresh || !m_options.protections.incarnation_check);
}

bool raft_node::implementation::same_member(const member_id& left, const member_id& right) const {
    return m_options.protections.incarnation_check ? left == right : left.host == right.host;
}

bool raft_node::implementation::is_voter(const member_id& member) const {
    return std::ranges::any_of(m_log.members().voters,
                               [&](const member_id& voter) { return same_member(voter, member); });
}

bool raft_node::implementation::may_campaign() const {
    if (!allowed_to_vote()) {
        return false;
    }
    const bool settled = m_log.members_index() <= m_committed || m_log.members_index() < m_log.first();
    const auto& before = settled ? m_log.members() : m_log.members_at(m_log.members_index() - 1);
    return is_voter(m_self) || std::ranges::find(before.voters, m_self) != before.voters.end();
}

std::size_t raft_node::implementation::majority() const {
    return m_log.members().voters.size() / 2 + 1;
}

void raft_node::implementation::reset_election_timer() {
    m_election_deadline =
        m_now + m_random.between(m_options.election_timeout, 2 * m_options.election_timeout);
}

void raft_node::implementation::on_election_timeout() {
    reset_election_timer();
    m_leader.reset();
    m_campaign.reset();
    refresh_role();
    if (may_campaign()) {
        campaign(m_options.protections.pre_vote);
    }
}

void raft_node::implementation::campaign(bool pre_vote) {
    const log_term term = m_vote.term + 1;
    m_campaign = election_campaign{pre_vote, term, {}, {}};
    m_leader.reset();
    if (pre_vote) {
        ask_for_votes();
        count_vote(m_self);
        return;
    }
    m_role = raft_role::candidate;
    set_vote({term, m_self});
    reset_election_timer();
    ask_for_votes();
    send_when_durable(m_self, vote_reply{term, true, false});
}

void raft_node::implementation::ask_for_votes() {
    m_campaign->retry_at = m_now + m_options.heartbeat;
    const vote_request request{m_campaign->term, m_log.last(), m_campaign->pre_vote};
    for (const member_id& voter : m_log.members().voters) {
        if (same_member(voter, m_self) || m_campaign->granted.contains(voter)) {
            continue;
        }
        if (request.pre_vote) {
            send(voter, request);
        } else {
            send_when_durable(voter, request);
        }
    }
}

void raft_node::implementation::count_vote(const member_id& voter) {
    for (const member_id& listed : m_log.members().voters) {
        if (same_member(listed, voter) && is_counted(listed)) {
            m_campaign->granted.insert(listed);
        }
    }
    if (m_campaign->granted.size() < majority()) {
        return;
    }
    if (m_campaign->pre_vote) {
        campaign(false);
    } else {
        become_leader();
    }
}

bool raft_node::implementation::leader_is_responsive() const {
    return m_role == raft_role::leader ||
           (m_leader && m_now - m_last_leader_contact < m_options.election_timeout);
}

bool raft_node::implementation::may_lead(const member_id& candidate, const log_position& last) const {
    return last >= m_log.last() && is_counted(candidate);
}

void raft_node::implementation::on_vote_request(const member_id& from, const vote_request& request) {
    if (request.pre_vote) {
        const bool granted =
            request.term > m_vote.term && may_lead(from, request.last) && !leader_is_responsive();
        send_when_durable(from, vote_reply{granted ? request.term : m_vote.term, granted, true});
        return;
    }
    if (request.term > m_vote.term) {
        step_down(request.term);
    }
    const bool may_grant = !m_vote.voted_for || same_member(*m_vote.voted_for, from);
    const bool granted = request.term == m_vote.term && may_grant && may_lead(from, request.last) &&
                         m_role != raft_role::leader;
    if (granted) {
        if (!m_vote.voted_for) {
            set_vote({m_vote.term, from});
        }
        reset_election_timer();
    }
    send_when_durable(from, vote_reply{m_vote.term, granted, false});
}

void raft_node::implementation::on_vote_reply(const member_id& from, const vote_reply& reply) {
    if (!reply.granted && reply.term > m_vote.term) {
        step_down(reply.term);
        return;
    }
    const bool expected =
        m_campaign && m_campaign->pre_vote == reply.pre_vote && m_campaign->term == reply.term;
    if (reply.granted && expected) {
        count_vote(from);
    }
}

void raft_node::implementation::on_election_request(const member_id& from, const election_request& request) {
    const bool from_leader = request.term == m_vote.term && m_leader == from;
    if (from_leader && m_role == raft_role::follower && may_campaign()) {
        campaign(false);
    }
}

void raft_node::implementation::become_leader() {
    m_campaign.reset();
    m_role = raft_role::leader;
    m_leader = m_self;
    m_progress.clear();
    m_successor.reset();
    refresh_progress();
    m_term_start = append({0, 0, entry_kind::no_op, {}, {}});
    broadcast();
    m_heartbeat_deadline = m_now + m_options.heartbeat;
    advance_commit();
}

void raft_node::implementation::step_down(log_term term) {
    if (term > m_vote.term) {
        set_vote({term, std::nullopt});
    }
    if (m_role == raft_role::leader) {
        reset_election_timer();
    }
    m_role = raft_role::follower;
    m_leader.reset();
    m_campaign.reset();
    m_progress.clear();
    m_successor.reset();
    refuse_reads();
    refresh_role();
}

void raft_node::implementation::follow(log_term term, const member_id& leader) {
    require_invariant(m_role != raft_role::leader || term > m_vote.term, "a term has at most one leader");
    if (term > m_vote.term || m_role == raft_role::candidate || m_campaign) {
        step_down(term);
    }
    if (!m_vote.voted_for) {
        set_vote({term, leader});
    }
    m_leader = leader;
    m_last_leader_contact = m_now;
    reset_election_timer();
    refresh_role();
}

void raft_node::implementation::refresh_role() {
    if (m_role == raft_role::leader || m_role == raft_role::candidate) {
        return;
    }
    m_role = may_campaign() ? raft_role::follower : raft_role::learner;
}

void raft_node::implementation::transfer_leadership() {
    if (m_role != raft_role::leader) {
        return;
    }
    const follower_progress* best = nullptr;
    for (const member_id& voter : m_log.members().voters) {
        const follower_progress* progress = progress_of(voter);
        if (progress != nullptr && is_responsive(voter) &&
            (best == nullptr || progress->match > best->match)) {
            best = progress;
            m_successor = voter;
        }
    }
    m_transfer_deadline = m_now + m_options.election_timeout;
    continue_leadership_transfer();
}

void raft_node::implementation::continue_leadership_transfer() {
    if (!m_successor) {
        return;
    }
    if (m_now >= m_transfer_deadline) {
        m_successor.reset();
        return;
    }
    const follower_progress* progress = progress_of(*m_successor);
    if (progress != nullptr && progress->match == m_log.last().index) {
        send(*m_successor, election_request{m_vote.term});
    }
}

} // namespace tamarack
