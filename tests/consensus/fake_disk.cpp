#include "fake_disk.h"

namespace tamarack {

namespace {

constexpr std::size_t parts_before_entries = 3; ///< snapshot, vote, truncation

} // namespace

void fake_disk::sync() {
    apply(m_unsynced.front(), SIZE_MAX);
    m_unsynced.pop_front();
}

void fake_disk::crash(random_source& random) {
    for (const persist_change& change : m_unsynced) {
        const std::size_t all = parts_before_entries + change.entries.size();
        const std::size_t survive = random.below(all + 1);
        apply(change, survive);
        if (survive < all) {
            break;
        }
    }
    m_unsynced.clear();
    m_content.may_vote = m_content.may_vote || m_content.fresh;
    m_content.fresh = false;
}

void fake_disk::empty(random_source& random) {
    m_unsynced.clear();
    m_content = {};
    m_content.may_vote = false;
    m_content.fresh = true;
    m_owner.incarnation = incarnation_id{random.next() | 1U};
}

void fake_disk::apply(const persist_change& change, std::size_t parts) {
    auto& entries = m_content.entries;
    if (parts > 0 && change.snapshot) {
        m_content.snapshot = *change.snapshot;
        std::erase_if(entries,
                      [&](const log_entry& entry) { return entry.index <= change.snapshot->last.index; });
    }
    if (parts > 1 && change.vote) {
        m_content.vote = *change.vote;
    }
    if (parts > 2 && change.truncate_from > 0) {
        std::erase_if(entries, [&](const log_entry& entry) { return entry.index >= change.truncate_from; });
    }
    std::size_t left = parts > parts_before_entries ? parts - parts_before_entries : 0;
    for (const log_entry& entry : change.entries) {
        if (left-- == 0) {
            break;
        }
        if (entry.index > m_content.snapshot.last.index) {
            entries.push_back(entry);
        }
    }
}

} // namespace tamarack
