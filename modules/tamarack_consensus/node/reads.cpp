/**
 * @file
 * Reads confirmed by a majority round.
 *
 * A read takes the committed index at the start of its round, and completes once a majority has answered a
 * message that was sent after the read was requested. Reads that arrive during a round share the next one.
 */
#include "raft_implementation.h"

#include <algorithm>
#include <utility>

namespace tamarack {

bool raft_node::implementation::own_term_committed() const {
    return m_role == raft_role::leader && m_committed >= m_term_start;
}

void raft_node::implementation::confirm_read(std::uint64_t read) {
    if (m_role != raft_role::leader || m_reads_waiting.size() >= m_options.max_uncommitted_proposals) {
        m_actions.emplace_back(read_refused{read});
        return;
    }
    if (!m_options.protections.confirm_reads) {
        m_actions.emplace_back(read_confirmed{read, m_committed, m_now});
        return;
    }
    m_reads_waiting.push_back({read, m_committed, m_now});
    start_read_round();
}

void raft_node::implementation::start_read_round() {
    if (!m_reads_in_round.empty() || m_reads_waiting.empty() || !own_term_committed()) {
        return;
    }
    m_reads_in_round = std::exchange(m_reads_waiting, {});
    for (waiting_read& read : m_reads_in_round) {
        read.index = m_committed;
    }
    m_read_round = m_round + 1;
    for (auto& [member, progress] : m_progress) {
        send_heartbeat(member, progress);
    }
    finish_read_round();
}

void raft_node::implementation::finish_read_round() {
    if (m_reads_in_round.empty()) {
        start_read_round();
        return;
    }
    std::size_t confirmed = 0;
    for (const member_id& voter : m_log.members().voters) {
        const follower_progress* progress = progress_of(voter);
        const bool replied =
            progress != nullptr && is_counted(voter) && progress->replied_round >= m_read_round;
        confirmed += replied || same_member(voter, m_self) ? 1U : 0U;
    }
    if (confirmed < majority()) {
        return;
    }
    for (const waiting_read& read : std::exchange(m_reads_in_round, {})) {
        m_actions.emplace_back(read_confirmed{read.read, read.index, read.asked_at});
    }
    start_read_round();
}

void raft_node::implementation::refuse_reads() {
    for (const waiting_read& read : std::exchange(m_reads_in_round, {})) {
        m_actions.emplace_back(read_refused{read.read});
    }
    for (const waiting_read& read : std::exchange(m_reads_waiting, {})) {
        m_actions.emplace_back(read_refused{read.read});
    }
}

} // namespace tamarack
