#pragma once

#include "host_table.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/** To whom news that is pushed goes. */
enum class update_scope {
    own_data_center, ///< it has reached this data centre from another one
    everyone,
};

/**
 * Which host of each data centre passes news on, and to whom this host pushes news.
 *
 * Load pattern: hundreds of small hosts start at once, each with news of itself and of the targets that it
 * keeps. News that its origin pushes to all hosts needs a connection between any two of them; news that
 * everybody pushes to some hosts at random reaches each host several times. Here a change goes to the relay
 * of the origin's data centre, from it to the other relays, and from each relay to the hosts of its own data
 * centre: a host hears it once, and it crosses to each data centre once.
 *
 * The relay is a control host where one runs, else the first by rendezvous hashing. Hosts that know the same
 * choose the same; nothing breaks where they differ, since only what is new to a host is passed on, and the
 * comparison of states finds what was missed.
 */
class update_relays {
public:
    /** Chooses anew when the known hosts have changed. */
    void refresh(const host_record& self, const host_table& hosts);

    /** @return whether this host passes news on to the hosts of its data centre */
    bool is_relay() const { return m_own_relay == m_self; }

    /** @return the relay of this host's data centre */
    const host_id& own_relay() const { return m_own_relay; }

    /** @return the relays of the other data centres */
    const std::vector<host_id>& other_relays() const { return m_other_relays; }

    /** @return the other running hosts of this data centre */
    const std::vector<host_id>& local_hosts() const { return m_local_hosts; }

    /** @return whether a host passes news on to the hosts of its data centre */
    bool is_relay(const host_id& host) const;

    /** @return whether a host is in this host's data centre */
    bool is_local(const host_id& host) const;

    /**
     * @param random  chooses a second relay for news of a host that relays nothing itself, in case its own
     *                relay is gone and nobody knows yet
     * @return the hosts to which news of this scope is pushed
     */
    std::vector<host_id> receivers(update_scope scope, random_source& random) const;

    /**
     * A host that has just started drains until it enters the directory; others have heard all before.
     *
     * @return whether this host tells a new host all that it knows
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
