/**
 * @file
 * The follower's side of replication: appends the leader's entries and truncates its own that conflict with
 * them.
 *
 * A heartbeat is answered at once and acknowledges only what is already durable, so that a slow disk doesn't
 * make the leader consider this member unresponsive. The term need not be durable for this reply: an entry of
 * the leader's term is stored no earlier than the term itself.
 */
#include "raft_implementation.h"

#include <algorithm>

namespace tamarack {

void raft_node::implementation::on_append_request(const member_id& from, const append_request& request) {
    if (request.term < m_vote.term) {
        send_when_durable(from, append_reply{m_vote.term, false, 0, {}, 0, request.round});
        return;
    }
    m_has_seen_history = true;
    follow(request.term, from);
    if (m_snapshot_replaces) {
        return;
    }
    const log_index previous = request.previous.index;
    const bool covered = previous < m_log.snapshot()->last.index;
    if (!covered && m_log.term_at(previous) != request.previous.term) {
        send_when_durable(from, conflict_reply(request));
        return;
    }
    accept_entries(request.entries);
    refresh_role();
    const log_index match = previous + request.entries.size();
    commit_to(std::min(request.committed, match));
    if (request.entries.empty() && m_durable >= m_log.snapshot()->last.index) {
        send(from, append_reply{m_vote.term, true, std::min(match, m_durable), {}, m_durable, request.round});
        return;
    }
    send_when_durable(from, append_reply{m_vote.term, true, match, {}, 0, request.round});
}

append_reply raft_node::implementation::conflict_reply(const append_request& request) const {
    append_reply reply{m_vote.term, false, 0, {}, 0, request.round};
    const auto own = m_log.term_at(request.previous.index);
    if (own) {
        const log_index begin = m_log.first_of_term_at(request.previous.index);
        reply.conflict = {*own, std::max(begin, m_committed + 1)};
    } else {
        reply.conflict = {0, m_log.last().index + 1};
    }
    return reply;
}

void raft_node::implementation::accept_entries(const std::vector<log_entry>& entries) {
    for (const log_entry& entry : entries) {
        if (entry.index <= m_log.snapshot()->last.index) {
            continue;
        }
        const auto own = m_log.term_at(entry.index);
        if (own == entry.term) {
            require_invariant(m_log.at(entry.index) == entry, "entries of equal index and term are equal");
            continue;
        }
        if (own) {
            truncate_log(entry.index);
        }
        m_log.append(entry);
    }
}

} // namespace tamarack
