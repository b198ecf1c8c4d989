#include "raft_checker.h"

namespace tamarack {

void raft_checker::on_leader(log_term term, const member_id& member) {
    const auto known = m_leaders.emplace(term, member).first;
    if (known->second != member) {
        add_violation("two leaders in term " + std::to_string(term));
    }
}

void raft_checker::on_apply(const member_id& member, log_index applied, const log_entry& entry) {
    if (entry.index != applied + 1) {
        add_violation(member.host.value() + " applied out of order");
    }
    if (entry.index == m_committed.size() + 1) {
        m_committed.push_back(entry);
    } else if (entry.index > m_committed.size() || m_committed[entry.index - 1] != entry) {
        add_violation("a committed entry changed at " + std::to_string(entry.index));
    }
}

void raft_checker::on_restore(const log_snapshot& snapshot) {
    if (snapshot.last.index > m_committed.size() || snapshot.state != state_at(snapshot.last.index)) {
        add_violation("a snapshot contradicts the committed entries");
    }
}

void raft_checker::on_acknowledge(const log_entry& entry) {
    m_acknowledged = std::max(m_acknowledged, entry.index);
}

void raft_checker::on_read(log_index index, log_index committed) {
    if (index < committed) {
        add_violation("a confirmed read is older than a committed entry");
    }
}

std::string raft_checker::state_at(log_index index) const {
    std::uint64_t hash = 0;
    for (log_index place = 0; place < index; ++place) {
        hash = stable_hash(m_committed[place].content, hash);
    }
    return std::to_string(index) + " " + std::to_string(hash) + std::string(300, '.');
}

} // namespace tamarack
