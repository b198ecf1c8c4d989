/**
 * @file
 * State that must be durable, and the messages held back until it is.
 *
 * Only one persist_change is in flight at a time. Changes made meanwhile are combined into the next one, so
 * that a slow disk leads to larger changes instead of more syncs.
 */
#include "raft_implementation.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Maximum number of messages held back by a slow disk; beyond it, the oldest are dropped, as if lost. */
constexpr std::size_t max_held_messages = 256;

} // namespace

void raft_node::implementation::set_vote(durable_vote vote) {
    require_invariant(vote.term >= m_vote.term, "a member's term never decreases");
    m_vote = std::move(vote);
    m_vote_unsaved = true;
}

void raft_node::implementation::mark_unsaved_from(log_index index) {
    m_unsaved_from = std::min(m_unsaved_from, index);
}

void raft_node::implementation::truncate_log(log_index index) {
    require_invariant(index > m_committed, "a committed entry is never truncated");
    m_log.truncate_from(index);
    m_truncate_from = m_truncate_from == 0 ? index : std::min(m_truncate_from, index);
    m_durable = std::min(m_durable, index - 1);
    m_durable_after_change = std::min(m_durable_after_change, index - 1);
    mark_unsaved_from(index);
}

bool raft_node::implementation::has_unsaved() const {
    return m_vote_unsaved || m_snapshot_unsaved || m_truncate_from > 0 ||
           m_unsaved_from <= m_log.last().index;
}

void raft_node::implementation::flush() {
    if (m_storage_failed || m_change_in_flight || !has_unsaved()) {
        return;
    }
    persist_change change;
    change.number = ++m_last_change;
    change.truncate_from = m_truncate_from;
    if (m_vote_unsaved) {
        change.vote = m_vote;
    }
    if (m_snapshot_unsaved) {
        change.snapshot = *m_log.snapshot();
    }
    m_durable_after_change = m_durable;
    if (m_snapshot_replaces) {
        m_durable_after_change = m_log.snapshot()->last.index;
    } else if (m_unsaved_from <= m_log.last().index) {
        const log_index from = std::max(m_unsaved_from, m_log.first()); // earlier ones are in the snapshot
        change.entries = m_log.slice(from, SIZE_MAX, SIZE_MAX);
        m_unsaved_from = m_log.last().index + 1;
        m_durable_after_change = m_log.last().index;
    }
    m_vote_unsaved = false;
    m_snapshot_unsaved = false;
    m_snapshot_replaces = false;
    m_truncate_from = 0;
    m_change_in_flight = true;
    m_actions.emplace_back(std::move(change));
}

void raft_node::implementation::on_persisted(std::uint64_t number) {
    if (!m_change_in_flight || number != m_last_change) {
        return;
    }
    if (m_storage_failed) {
        m_storage_failed = false;
        reset_election_timer();
        refresh_role();
    }
    m_change_in_flight = false;
    m_durable = std::max(m_durable, m_durable_after_change);
    std::deque<held_message> ready;
    while (!m_held_messages.empty() && m_held_messages.front().change <= number) {
        ready.push_back(std::move(m_held_messages.front()));
        m_held_messages.pop_front();
    }
    for (const held_message& message : ready) {
        release(message.envelope);
    }
    if (m_role == raft_role::leader) {
        advance_commit();
    }
}

void raft_node::implementation::on_persist_failed() {
    if (m_storage_failed) {
        return;
    }
    step_down(m_vote.term);
    m_storage_failed = true;
    m_held_messages.clear();
    refresh_role();
}

void raft_node::implementation::send(const member_id& to, raft_message message) {
    m_actions.emplace_back(send_message{{m_self, to, std::move(message)}});
}

void raft_node::implementation::send_when_durable(const member_id& to, raft_message message) {
    raft_envelope envelope{m_self, to, std::move(message)};
    const bool waits = has_unsaved() || m_change_in_flight;
    if (!waits || !m_options.protections.reply_after_sync) {
        release(envelope);
        return;
    }
    if (m_held_messages.size() >= max_held_messages) {
        m_held_messages.pop_front();
    }
    const std::uint64_t change = has_unsaved() ? m_last_change + 1 : m_last_change;
    m_held_messages.push_back({change, std::move(envelope)});
}

void raft_node::implementation::release(const raft_envelope& envelope) {
    if (envelope.to == m_self) {
        dispatch(envelope);
        return;
    }
    raft_envelope released = envelope;
    if (auto* reply = std::get_if<append_reply>(&released.message)) {
        reply->last = m_options.protections.reply_after_sync ? m_durable : m_log.last().index;
    }
    if (auto* reply = std::get_if<snapshot_reply>(&released.message)) {
        reply->last = reply->installed ? reply->last : m_durable;
    }
    m_actions.emplace_back(send_message{std::move(released)});
}

} // namespace tamarack
