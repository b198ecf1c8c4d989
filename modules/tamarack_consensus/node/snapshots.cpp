/**
 * @file
 * Log compaction, and the transfer of snapshots in parts to followers that need entries before the start of
 * the leader's log.
 */
#include "raft_implementation.h"

#include <algorithm>

namespace tamarack {

void raft_node::implementation::on_snapshot(log_index applied, std::string state) {
    require_invariant(applied <= m_committed, "a snapshot covers only applied entries");
    if (m_storage_failed || m_snapshot_replaces || applied <= m_log.snapshot()->last.index) {
        return;
    }
    m_log.compact(applied, std::move(state));
    m_snapshot_unsaved = true;
}

void raft_node::implementation::send_snapshot_part(const member_id& to, follower_progress& progress) {
    if (!progress.sending) {
        progress.sending = m_log.snapshot();
        progress.sent_bytes = 0;
    }
    const log_snapshot& snapshot = *progress.sending;
    snapshot_request request;
    request.term = m_vote.term;
    request.last = snapshot.last;
    request.members = snapshot.members;
    request.offset = progress.sent_bytes;
    request.part = snapshot.state.substr(progress.sent_bytes, m_options.snapshot_part_bytes);
    request.final_part = progress.sent_bytes + request.part.size() == snapshot.state.size();
    request.round = ++m_round;
    progress.entries_round = m_round;
    send(to, std::move(request));
}

void raft_node::implementation::on_snapshot_request(const member_id& from, const snapshot_request& request) {
    if (request.term < m_vote.term) {
        send_when_durable(from, snapshot_reply{m_vote.term, 0, false, 0, request.round});
        return;
    }
    m_has_seen_history = true;
    follow(request.term, from);
    if (request.last.index <= m_committed) {
        m_incoming.reset();
        send_when_durable(from, snapshot_reply{m_vote.term, 0, true, m_committed, request.round});
        return;
    }
    const bool continues = m_incoming && m_incoming->from == from && m_incoming->last == request.last;
    if (!continues) {
        m_incoming = incoming_snapshot{from, request.last, {}};
    }
    if (request.offset == m_incoming->state.size()) {
        m_incoming->state += request.part;
        if (request.final_part) {
            install(request);
            send_when_durable(from, snapshot_reply{m_vote.term, 0, true, request.last.index, request.round});
            return;
        }
    }
    send_when_durable(from, snapshot_reply{m_vote.term, m_incoming->state.size(), false, 0, request.round});
}

void raft_node::implementation::install(const snapshot_request& request) {
    log_snapshot snapshot{request.last, request.members, std::move(m_incoming->state)};
    m_incoming.reset();
    m_actions.emplace_back(restore_snapshot{snapshot});
    m_committed = snapshot.last.index;
    m_snapshot_unsaved = true;
    if (m_log.install(std::move(snapshot))) {
        m_snapshot_replaces = true;
        m_truncate_from = 1;
        m_durable = 0;
        m_durable_after_change = 0;
        m_unsaved_from = m_log.last().index + 1;
    }
    refresh_role();
}

void raft_node::implementation::on_snapshot_reply(const member_id& from, const snapshot_reply& reply) {
    if (!accept_reply(from, reply.term, reply.last, reply.round)) {
        return;
    }
    follower_progress& progress = *progress_of(from);
    if (reply.installed) {
        progress.sending.reset();
        record_match(progress, std::min(reply.last, m_log.last().index), reply.round);
    } else if (progress.sending) {
        progress.sent_bytes = std::min<std::uint64_t>(reply.next_offset, progress.sending->state.size());
    }
    advance_commit();
    finish_read_round();
    follower_progress* present = m_role == raft_role::leader ? progress_of(from) : nullptr;
    if (present != nullptr && present->entries_round == 0) {
        send_entries(from, *present);
    }
}

} // namespace tamarack
