#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <map>
#include <string>
#include <vector>

namespace tamarack {

/** Observes all members from outside and records each violated invariant of the replicated log. */
class raft_checker {
public:
    /** A member became leader of a term. */
    void on_leader(log_term term, const member_id& member);
    /** A member applied an entry; `applied` is the index that its application had reached before. */
    void on_apply(const member_id& member, log_index applied, const log_entry& entry);
    /** A member replaced its application's state. */
    void on_restore(const log_snapshot& snapshot);
    /** A leader acknowledged an entry to its proposer. */
    void on_acknowledge(const log_entry& entry);
    /**
     * A read was confirmed up to an index. `committed` is the number of entries that any member had applied
     * when it was requested.
     */
    void on_read(log_index index, log_index committed);

    void add_violation(const std::string& violation) { m_violations.push_back(violation); }
    const std::vector<std::string>& violations() const { return m_violations; }

    /** @return the application's state at an index, as every member must have it */
    std::string state_at(log_index index) const;
    log_index committed() const { return m_committed.size(); }
    log_index acknowledged() const { return m_acknowledged; }

private:
    std::vector<log_entry> m_committed; ///< by index, as first applied by any member
    std::map<log_term, member_id> m_leaders;
    log_index m_acknowledged = 0;
    std::vector<std::string> m_violations;
};

} // namespace tamarack
