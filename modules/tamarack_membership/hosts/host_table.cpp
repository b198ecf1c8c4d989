#include "host_table.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

bool is_newer(const host_record& record, const host_record& than) {
    const auto key = [](const host_record& value) {
        return std::tie(value.incarnation.value, value.version, value.state);
    };
    return key(than) < key(record);
}

bool host_table::merge(time_point now, const host_record& record) {
    const auto found = m_peers.find(record.host);
    if (found == m_peers.end()) {
        if (!is_running(record.state)) {
            return false;
        }
        store(now, m_peers[record.host], record);
        return true;
    }
    if (!is_newer(record, found->second.record)) {
        return false;
    }
    store(now, found->second, record);
    return true;
}

std::optional<host_record> host_table::set_state(time_point now, const host_id& host, host_state state) {
    const auto found = m_peers.find(host);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    host_record changed = found->second.record;
    changed.state = state;
    store(now, found->second, changed);
    return changed;
}

void host_table::store(time_point now, peer& stored, const host_record& record) {
    const bool same_suspicion = stored.record.state == host_state::suspect &&
                                stored.record.incarnation == record.incarnation &&
                                stored.record.version == record.version;
    const bool revived = stored.record.state == host_state::dead && is_running(record.state) &&
                         stored.record.incarnation == record.incarnation;
    m_revivals += revived ? 1 : 0;
    stored.record = record;
    stored.changed_at = now;
    ++m_generation;
    if (record.state != host_state::suspect) {
        m_suspects.erase(record.host);
        return;
    }
    m_suspects.insert(record.host);
    if (!same_suspicion) {
        stored.suspect_since = now;
    }
}

void host_table::restart_suspicions(time_point now) {
    for (const host_id& suspect : m_suspects) {
        m_peers.at(suspect).suspect_since = now;
    }
}

std::vector<host_id> host_table::suspects_since(time_point begin) const {
    std::vector<host_id> found;
    for (const host_id& suspect : m_suspects) {
        if (m_peers.at(suspect).suspect_since <= begin) {
            found.push_back(suspect);
        }
    }
    return found;
}

std::optional<time_point> host_table::oldest_suspicion() const {
    std::optional<time_point> oldest;
    for (const host_id& suspect : m_suspects) {
        const time_point since = m_peers.at(suspect).suspect_since;
        oldest = std::min(oldest.value_or(since), since);
    }
    return oldest;
}

bool host_table::forget_unchanged_since(time_point limit) {
    const std::size_t erased = std::erase_if(m_peers, [&](const auto& item) {
        return !is_running(item.second.record.state) && item.second.changed_at <= limit;
    });
    m_generation += erased;
    return erased > 0;
}

const host_record* host_table::find(const host_id& host) const {
    const peer* found = find_peer(host);
    return found == nullptr ? nullptr : &found->record;
}

const host_table::peer* host_table::find_peer(const host_id& host) const {
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

const std::vector<host_id>& host_table::running() const {
    refresh_lists();
    return m_running;
}

const std::vector<host_id>& host_table::dead() const {
    refresh_lists();
    return m_dead;
}

void host_table::refresh_lists() const {
    if (m_listed_generation == m_generation) {
        return;
    }
    m_running.clear();
    m_dead.clear();
    for (const auto& [host, entry] : m_peers) {
        if (is_running(entry.record.state)) {
            m_running.push_back(host);
        } else if (entry.record.state == host_state::dead) {
            m_dead.push_back(host);
        }
    }
    m_listed_generation = m_generation;
}

} // namespace tamarack
