#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <deque>
#include <vector>

namespace tamarack {

/** A disk whose writes are lost by a crash until they are synced, wholly or from some point on. */
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

    /** Loses power: of each write that was not synced a random first part survives, and nothing after it. */
    void crash(random_source& random);

    /** Empties the folder; it begins another incarnation. */
    void empty(random_source& random);

    /** Puts an older content back; its `may_vote` says whether that was noticed. */
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
