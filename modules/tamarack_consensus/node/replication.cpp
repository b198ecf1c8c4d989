/**
 * @file
 * The leader's side of replication: sends entries, processes acknowledgements and advances the committed
 * index.
 *
 * Each follower is sent one message with entries at a time, the next one after the reply to the previous one.
 * Entries without a reply are sent again once the follower has answered a later heartbeat. Proposals made
 * meanwhile are sent together. A follower that has been silent for an election timeout gets only heartbeats,
 * until it answers one.
 */
#include "raft_implementation.h"

#include <algorithm>
#include <functional>

namespace tamarack {

log_index raft_node::implementation::append(log_entry entry) {
    entry.term = m_vote.term;
    entry.index = m_log.last().index + 1;
    m_log.append(std::move(entry));
    return m_log.last().index;
}

void raft_node::implementation::broadcast() {
    for (auto& [member, progress] : m_progress) {
        if (progress.entries_round == 0) {
            send_entries(member, progress);
        }
    }
}

void raft_node::implementation::send_entries(const member_id& to, follower_progress& progress) {
    if (m_now - progress.last_reply_at >= m_options.election_timeout) {
        progress.entries_round = 0;
        send_heartbeat(to, progress);
        return;
    }
    if (progress.sending || progress.next < m_log.first()) {
        send_snapshot_part(to, progress);
        return;
    }
    append_request request;
    request.term = m_vote.term;
    request.previous = {m_log.term_at(progress.next - 1).value_or(0), progress.next - 1};
    request.entries =
        m_log.slice(progress.next, m_options.max_entries_per_message, m_options.max_bytes_per_message);
    request.committed = m_committed;
    request.round = ++m_round;
    progress.entries_round = request.entries.empty() ? 0 : m_round;
    send(to, std::move(request));
}

void raft_node::implementation::send_heartbeat(const member_id& to, const follower_progress& progress) {
    append_request request;
    request.term = m_vote.term;
    const log_index known = std::max(progress.match, m_log.first() - 1);
    request.previous = {m_log.term_at(known).value_or(0), known};
    request.committed = std::min(m_committed, known);
    request.round = ++m_round;
    send(to, std::move(request));
}

void raft_node::implementation::on_heartbeat_timer() {
    m_heartbeat_deadline = m_now + m_options.heartbeat;
    check_quorum();
    if (m_role != raft_role::leader) {
        return;
    }
    for (auto& [member, progress] : m_progress) {
        const bool unanswered =
            progress.entries_round != 0 && progress.replied_round < progress.entries_round;
        if (unanswered) {
            send_heartbeat(member, progress);
        } else {
            send_entries(member, progress);
        }
    }
    continue_leadership_transfer();
    advance_membership();
}

void raft_node::implementation::check_quorum() {
    if (!m_options.protections.check_quorum) {
        return;
    }
    std::size_t responsive = 0;
    for (const member_id& voter : m_log.members().voters) {
        responsive += is_responsive(voter) ? 1U : 0U;
    }
    if (responsive < majority()) {
        step_down(m_vote.term);
    }
}

follower_progress* raft_node::implementation::progress_of(const member_id& member) {
    for (auto& [known, progress] : m_progress) {
        if (same_member(known, member)) {
            return &progress;
        }
    }
    return nullptr;
}

bool raft_node::implementation::accept_reply(const member_id& from, log_term term, log_index last,
                                             std::uint64_t round) {
    if (term > m_vote.term) {
        step_down(term);
        return false;
    }
    follower_progress* progress = progress_of(from);
    if (m_role != raft_role::leader || term < m_vote.term || progress == nullptr) {
        return false;
    }
    const bool lost_entries = round > progress->matched_at_round && last < progress->match;
    if (lost_entries && m_options.protections.incarnation_check) {
        m_excluded.insert(from);
        progress->match = 0;
        progress->next = std::min(progress->next, last + 1);
        progress->entries_round = 0;
    }
    m_self_excluded.erase(from);
    progress->last_reply_at = m_now;
    progress->replied_round = std::max(progress->replied_round, round);
    if (round == progress->entries_round) {
        progress->entries_round = 0;
    }
    return true;
}

void raft_node::implementation::record_match(follower_progress& progress, log_index match,
                                             std::uint64_t round) {
    require_invariant(match <= m_log.last().index, "a follower's match is never beyond the leader's log");
    if (match > progress.match) {
        progress.match = match;
        progress.matched_at_round = std::max(m_round, round);
    }
    progress.next = std::max(progress.next, progress.match + 1);
}

void raft_node::implementation::on_append_reply(const member_id& from, const append_reply& reply) {
    if (!accept_reply(from, reply.term, reply.last, reply.round)) {
        return;
    }
    follower_progress& progress = *progress_of(from);
    if (reply.matched) {
        record_match(progress, reply.match, reply.round);
    } else {
        move_next_back(progress, reply);
    }
    advance_commit();
    finish_read_round();
    if (m_role != raft_role::leader) {
        return;
    }
    follower_progress* present = progress_of(from);
    if (present != nullptr && present->entries_round == 0 && present->next <= m_log.last().index) {
        send_entries(from, *present);
    }
    continue_leadership_transfer();
    advance_membership();
}

void raft_node::implementation::move_next_back(follower_progress& progress, const append_reply& reply) {
    log_index next = reply.conflict.index;
    if (reply.conflict.term > 0) {
        const auto own = m_log.last_of_term(reply.conflict.term);
        if (own) {
            next = std::min(*own + 1, progress.next - 1);
        }
    }
    next = std::min(next, m_log.last().index + 1);
    progress.next = std::max(next, progress.match + 1);
}

void raft_node::implementation::advance_commit() {
    if (m_role != raft_role::leader) {
        return;
    }
    std::vector<log_index> durable;
    for (const member_id& voter : m_log.members().voters) {
        const follower_progress* progress = progress_of(voter);
        const bool counted = progress != nullptr && is_counted(voter);
        const log_index own = m_options.protections.reply_after_sync ? m_durable : m_log.last().index;
        durable.push_back(same_member(voter, m_self) ? own : (counted ? progress->match : 0));
    }
    std::ranges::sort(durable, std::greater<>{});
    const log_index agreed = durable[majority() - 1];
    if (agreed <= m_committed) {
        return;
    }
    const bool own_term = m_log.term_at(agreed) == m_vote.term;
    if (own_term || !m_options.protections.commit_own_term_only) {
        commit_to(agreed);
        finish_read_round();
        advance_membership();
    }
}

void raft_node::implementation::commit_to(log_index index) {
    if (index <= m_committed) {
        return;
    }
    apply_entries applied;
    for (log_index next = m_committed + 1; next <= index; ++next) {
        applied.entries.push_back(m_log.at(next));
    }
    m_committed = index;
    m_actions.emplace_back(std::move(applied));
    const bool removed = m_log.members_index() <= m_committed && !is_voter(m_self);
    if (m_role == raft_role::leader && removed) {
        for (auto& [member, progress] : m_progress) {
            send_entries(member, progress);
        }
        step_down(m_vote.term);
    }
}

} // namespace tamarack
