#pragma once

#include "log_types.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

/**
 * The log in memory: a snapshot, the entries after it, and some entries before it for followers that lag a
 * little.
 *
 * It knows nothing of what is durable or committed.
 */
class entry_log {
public:
    /** @param entries  those after the snapshot, in order; any that can't follow it are left out */
    entry_log(log_snapshot snapshot, std::vector<log_entry> entries);

    /** @return the newest snapshot; its position is zero when there is none */
    const std::shared_ptr<const log_snapshot>& snapshot() const { return m_snapshot; }

    /** @return position of the last entry, or of the snapshot */
    log_position last() const;
    /** @return index of the first entry that is still held */
    log_index first() const { return m_base.index + 1; }
    bool empty() const { return last().index == 0; }

    /** @return the term at an index, or nothing when it is beyond the end or no longer held */
    std::optional<log_term> term_at(log_index index) const;
    /** @return the entry; it must be held */
    const log_entry& at(log_index index) const;

    /** Appends the entry that follows the last. */
    void append(log_entry entry);
    /** Removes the entries from an index on. */
    void truncate_from(log_index index);

    /** @return entries from an index on, at least one if there is any, within the bounds */
    std::vector<log_entry> slice(log_index from, std::size_t max_entries, std::size_t max_bytes) const;

    /** @return index of the first held entry of the term that stands at an index */
    log_index first_of_term_at(log_index index) const;
    /** @return the last index of a term, or nothing when no held entry has it */
    std::optional<log_index> last_of_term(log_term term) const;

    /** @return the members by the newest members entry, committed or not */
    const log_members& members() const { return m_members.back().second; }
    /** @return the members by the entries up to an index */
    const log_members& members_at(log_index index) const;
    /** @return index of the entry that set the members */
    log_index members_index() const { return m_members.back().first; }

    /** Takes the application's state at an index as the snapshot, and lets go of most entries before it. */
    void cut(log_index index, std::string state);
    /**
     * Takes a leader's snapshot.
     *
     * @return whether the entries were dropped, since they don't continue the snapshot
     */
    bool install(log_snapshot snapshot);

private:
    void drop_front(log_index last_dropped);

    std::shared_ptr<const log_snapshot> m_snapshot;
    log_position m_base; ///< position just before the first held entry
    std::deque<log_entry> m_entries;
    std::vector<std::pair<log_index, log_members>> m_members; ///< by index; never empty
};

} // namespace tamarack
