#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <map>
#include <string>
#include <vector>

namespace tamarack {

/** Watches all members from outside and notes each broken invariant of the replicated log. */
class raft_checker {
public:
    /** A member became leader of a term. */
    void on_leader(log_term term, const member_id& member);
    /** A member applied an entry, its application being at `applied` before. */
    void on_apply(const member_id& member, log_index applied, const log_entry& entry);
    /** A member replaced its application's state. */
    void on_restore(const log_snapshot& snapshot);
    /** A leader acknowledged the entry at a place to whoever proposed it. */
    void on_acknowledge(const log_entry& entry);
    /** A read was confirmed up to an index; `committed` entries were known to any member when it was asked.
     */
    void on_read(log_index index, log_index committed);

    void add_violation(const std::string& violation) { m_violations.push_back(violation); }
    const std::vector<std::string>& violations() const { return m_violations; }

    /** @return the application's state up to an index, as each member must have it */
    std::string state_at(log_index index) const;
    log_index committed() const { return m_committed.size(); }
    log_index acknowledged() const { return m_acknowledged; }

private:
    std::vector<log_entry> m_committed; ///< by index, the first to be applied anywhere
    std::map<log_term, member_id> m_leaders;
    log_index m_acknowledged = 0;
    std::vector<std::string> m_violations;
};

} // namespace tamarack
