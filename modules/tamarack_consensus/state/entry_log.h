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
 * The log in memory: a snapshot, the entries after it, and some entries before it for followers that lag
 * slightly.
 *
 * It doesn't track which entries are durable or committed.
 */
class entry_log {
public:
    /**
     * @param entries  the entries after the snapshot, in order; reading stops at the first one that doesn't
     *                 follow its predecessor
     */
    entry_log(log_snapshot snapshot, std::vector<log_entry> entries);

    /** @return the newest snapshot; its position is zero when there is none */
    const std::shared_ptr<const log_snapshot>& snapshot() const { return m_snapshot; }

    /** @return position of the last entry, or of the snapshot */
    log_position last() const;
    /** @return index of the first entry in memory */
    log_index first() const { return m_base.index + 1; }
    bool empty() const { return last().index == 0; }

    /** @return the term at an index, or nothing when it is beyond the end or no longer in memory */
    std::optional<log_term> term_at(log_index index) const;
    /** @return the entry, which must be in memory */
    const log_entry& at(log_index index) const;

    /** Appends the entry that follows the last one. */
    void append(log_entry entry);
    /** Removes the entries from an index on. */
    void truncate_from(log_index index);

    /** @return the entries from an index on, at least one if there is any, within the given limits */
    std::vector<log_entry> slice(log_index from, std::size_t max_entries, std::size_t max_bytes) const;

    /** @return index of the first entry in memory that has the same term as the entry at an index */
    log_index first_of_term_at(log_index index) const;
    /** @return the last index of a term, or nothing when no entry in memory has it */
    std::optional<log_index> last_of_term(log_term term) const;

    /** @return the members as of the newest members entry, committed or not */
    const log_members& members() const { return m_members.back().second; }
    /** @return the members as of an index */
    const log_members& members_at(log_index index) const;
    /** @return index of the entry that set the current members */
    log_index members_index() const { return m_members.back().first; }

    /**
     * Makes the application's state at an index the snapshot, and drops most entries before it from memory.
     */
    void compact(log_index index, std::string state);
    /**
     * Installs a leader's snapshot.
     *
     * @return whether the entries were dropped, because they don't continue the snapshot
     */
    bool install(log_snapshot snapshot);

private:
    /** @return the last entry that need not stay in memory once there is a snapshot at this index */
    log_index last_dropped_before(log_index snapshot_index) const;
    void drop_front(log_index last_dropped);

    std::shared_ptr<const log_snapshot> m_snapshot;
    log_position m_base; ///< position just before the first entry in memory
    std::deque<log_entry> m_entries;
    std::vector<std::pair<log_index, log_members>> m_members; ///< by index; never empty
};

} // namespace tamarack
