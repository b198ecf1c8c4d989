#pragma once

#include "host_table.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/** The hosts to which an update is pushed. */
enum class update_scope {
    own_data_center, ///< only this data centre, for an update from another data centre
    everyone,
};

/**
 * The relay of each data centre, and the hosts to which this host pushes updates.
 *
 * Load pattern: hundreds of small hosts start at once, each with updates about itself and about the targets
 * registered at it. If the origin pushed its updates to all hosts, every pair of hosts would need a
 * connection; if each host pushed them to some random hosts, each host would receive an update several
 * times. Instead, an update goes to the relay of the origin's data centre, from there to the other relays,
 * and from each relay to the hosts of its own data centre: each host receives it once, and it is sent to
 * each data centre once.
 *
 * The relay is a control host if one is running, otherwise the first host by rendezvous hashing. Hosts with
 * the same records choose the same relays. Differing choices do no harm: a host forwards only updates that
 * are new to it, and state comparison repairs what was missed.
 */
class update_relays {
public:
    /** Chooses the relays again if the known hosts have changed. */
    void refresh(const host_record& self, const host_table& hosts);

    /** @return whether this host is the relay of its data centre */
    bool is_relay() const { return m_own_relay == m_self; }

    /** @return the relay of this host's data centre */
    const host_id& own_relay() const { return m_own_relay; }

    /** @return the relays of the other data centres */
    const std::vector<host_id>& other_relays() const { return m_other_relays; }

    /** @return the other running hosts of this data centre */
    const std::vector<host_id>& local_hosts() const { return m_local_hosts; }

    /** @return whether a host is the relay of its data centre */
    bool is_relay(const host_id& host) const;

    /** @return whether a host is in this host's data centre */
    bool is_local(const host_id& host) const;

    /**
     * @param random  chooses a second relay for updates from a host that is not a relay, in case its own
     *                relay has failed and no host has noticed yet
     * @return the hosts to which updates of this scope are pushed
     */
    std::vector<host_id> receivers(update_scope scope, random_source& random) const;

    /**
     * Only a host that has just started needs the full state. It is recognised by its record, which is marked
     * as draining until the host enters the directory.
     *
     * @return whether this host sends its full state to a new host
     */
    bool sends_state_to(const host_record& new_host) const;

private:
    std::uint64_t m_generation = 0;
    host_id m_self;
    host_id m_own_relay;
    std::vector<host_id> m_other_relays;
    std::vector<host_id> m_local_hosts; ///< sorted
};

} // namespace tamarack
