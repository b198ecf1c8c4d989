#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <deque>
#include <vector>

namespace tamarack {

/** A disk that loses unsynced writes in a crash, either all of them or those from some point on. */
class fake_disk {
public:
    explicit fake_disk(member_id owner) : m_owner(std::move(owner)) {
        m_content.may_vote = false;
        m_content.fresh = true;
    }

    /** Writes a change that is not synced yet. */
    void write(const persist_change& change) { m_unsynced.push_back(change); }

    /** Syncs the oldest write. */
    void sync();

    /** Simulates a loss of power: of the unsynced writes, a random prefix survives. */
    void crash(random_source& random);

    /** Empties the folder, which starts a new incarnation. */
    void empty(random_source& random);

    /** Restores an older content; its `may_vote` tells whether the restore was detected. */
    void restore_older(recovered_log older) { m_content = std::move(older); }

    const member_id& owner() const { return m_owner; }
    const recovered_log& content() const { return m_content; }

private:
    void apply(const persist_change& change, std::size_t parts);

    member_id m_owner;
    recovered_log m_content;
    std::deque<persist_change> m_unsynced;
};

} // namespace tamarack
