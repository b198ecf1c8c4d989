#pragma once

#include "host_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarack {

/** @return whether a record describes a later state of the same host than another record; a total order */
bool is_newer(const host_record& record, const host_record& than);

/** @return whether a host in this state is considered running */
inline bool is_running(host_state state) {
    return state == host_state::alive || state == host_state::suspect;
}

/**
 * The other hosts, as known to this host.
 *
 * Keeps the later of two records and counts changes; makes no decisions of its own.
 *
 * @see failure_detector, which fills it
 */
class host_table {
public:
    /** Another host. */
    struct peer {
        host_record record;
        time_point changed_at{};
        time_point suspect_since{};
    };

    /**
     * Stores a record if it is later than the stored one.
     *
     * @return whether the record was stored
     */
    bool merge(time_point now, const host_record& record);

    /**
     * Sets a host's state as observed by this host, keeping its incarnation and version.
     *
     * @return the changed record, or nothing if the host is unknown
     */
    std::optional<host_record> set_state(time_point now, const host_id& host, host_state state);

    /**
     * Restarts the timeout of each suspicion, after a period in which this host could not have received a
     * refutation.
     */
    void restart_suspicions(time_point now);

    /** @return the suspects whose suspicion began at or before the given time */
    std::vector<host_id> suspects_since(time_point begin) const;

    /** @return the time at which the oldest suspicion began */
    std::optional<time_point> oldest_suspicion() const;

    /**
     * Removes hosts that are not running and have not changed since `limit`. @return whether any was
     * removed
     */
    bool forget_unchanged_since(time_point limit);

    /** @return a host's record, or nullptr */
    const host_record* find(const host_id& host) const;
    /** @return a host with the times at which it changed, or nullptr */
    const peer* find_peer(const host_id& host) const;

    /** @return the hosts that are alive or suspect, sorted by name */
    const std::vector<host_id>& running() const;
    /** @return the hosts that are dead */
    const std::vector<host_id>& dead() const;

    const std::map<host_id, peer>& peers() const { return m_peers; }

    /** @return a number that increases with each change of a record */
    std::uint64_t generation() const { return m_generation; }

    /** @return how often a host considered dead turned out to be running, as when a partition has healed */
    std::uint64_t revivals() const { return m_revivals; }

private:
    void store(time_point now, peer& stored, const host_record& record);
    void refresh_lists() const;

    std::map<host_id, peer> m_peers;
    std::set<host_id> m_suspects;
    std::uint64_t m_generation = 1;
    std::uint64_t m_revivals = 0;
    mutable std::uint64_t m_listed_generation = 0;
    mutable std::vector<host_id> m_running;
    mutable std::vector<host_id> m_dead;
};

} // namespace tamarack
