#include "entry_log.h"

#include <algorithm>

namespace tamarack {

namespace {

/**
 * Entries before the snapshot that stay in memory, so that a follower that lags slightly needs no snapshot.
 * An entry may hold a whole configuration, so their size is limited as well as their number.
 */
constexpr log_index entries_kept_before_snapshot = 1'024;
constexpr std::size_t bytes_kept_before_snapshot = 2 * mebibyte;

} // namespace

entry_log::entry_log(log_snapshot snapshot, std::vector<log_entry> entries)
    : m_snapshot(std::make_shared<const log_snapshot>(std::move(snapshot))), m_base(m_snapshot->last) {
    m_members.emplace_back(m_base.index, m_snapshot->members);
    for (log_entry& entry : entries) {
        if (entry.index != last().index + 1 || entry.term < last().term) {
            break;
        }
        append(std::move(entry));
    }
}

log_position entry_log::last() const {
    if (m_entries.empty()) {
        return m_base;
    }
    return {m_entries.back().term, m_entries.back().index};
}

std::optional<log_term> entry_log::term_at(log_index index) const {
    if (index == m_base.index) {
        return m_base.term;
    }
    if (index < m_base.index || index > last().index) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& entry_log::at(log_index index) const {
    require_invariant(index > m_base.index && index <= last().index, "only entries in memory are read");
    return m_entries[index - m_base.index - 1];
}

void entry_log::append(log_entry entry) {
    require_invariant(entry.index == last().index + 1, "entries are appended without a gap");
    require_invariant(entry.term >= last().term, "terms never decrease along the log");
    if (entry.kind == entry_kind::members) {
        m_members.emplace_back(entry.index, entry.members);
    }
    m_entries.push_back(std::move(entry));
}

void entry_log::truncate_from(log_index index) {
    require_invariant(index > m_snapshot->last.index, "entries within the snapshot are never truncated");
    while (last().index >= index) {
        m_entries.pop_back();
    }
    while (m_members.back().first >= index) {
        m_members.pop_back();
    }
}

std::vector<log_entry> entry_log::slice(log_index from, std::size_t max_entries,
                                        std::size_t max_bytes) const {
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (log_index index = from; index <= last().index && entries.size() < max_entries; ++index) {
        bytes += at(index).content.size();
        if (!entries.empty() && bytes > max_bytes) {
            break;
        }
        entries.push_back(at(index));
    }
    return entries;
}

log_index entry_log::first_of_term_at(log_index index) const {
    log_index begin = index;
    while (begin > first() && at(begin - 1).term == at(index).term) {
        --begin;
    }
    return begin;
}

std::optional<log_index> entry_log::last_of_term(log_term term) const {
    const auto after =
        std::upper_bound(m_entries.begin(), m_entries.end(), term,
                         [](log_term wanted, const log_entry& entry) { return wanted < entry.term; });
    if (after == m_entries.begin() || std::prev(after)->term != term) {
        return std::nullopt;
    }
    return std::prev(after)->index;
}

const log_members& entry_log::members_at(log_index index) const {
    auto newest = m_members.begin();
    for (auto entry = m_members.begin(); entry != m_members.end() && entry->first <= index; ++entry) {
        newest = entry;
    }
    return newest->second;
}

void entry_log::compact(log_index index, std::string state) {
    const auto term = term_at(index);
    require_invariant(term.has_value(), "the last entry of a snapshot is in memory");
    m_snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{{*term, index}, members_at(index), std::move(state)});
    drop_front(last_dropped_before(index));
}

log_index entry_log::last_dropped_before(log_index snapshot_index) const {
    std::size_t bytes = 0;
    log_index kept_from = snapshot_index + 1;
    while (kept_from > first() && snapshot_index - kept_from + 1 < entries_kept_before_snapshot) {
        bytes += at(kept_from - 1).content.size();
        if (bytes > bytes_kept_before_snapshot) {
            break;
        }
        --kept_from;
    }
    return kept_from - 1;
}

bool entry_log::install(log_snapshot snapshot) {
    const log_position position = snapshot.last;
    const bool continues = term_at(position.index) == position.term;
    m_snapshot = std::make_shared<const log_snapshot>(std::move(snapshot));
    if (continues) {
        return false;
    }
    m_entries.clear();
    m_base = position;
    m_members.clear();
    m_members.emplace_back(position.index, m_snapshot->members);
    return true;
}

void entry_log::drop_front(log_index last_dropped) {
    while (!m_entries.empty() && m_entries.front().index <= last_dropped) {
        m_base = {m_entries.front().term, m_entries.front().index};
        m_entries.pop_front();
    }
    while (m_members.size() > 1 && m_members[1].first <= m_base.index) {
        m_members.erase(m_members.begin());
    }
}

} // namespace tamarack
