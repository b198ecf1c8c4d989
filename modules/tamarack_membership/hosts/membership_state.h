#pragma once

#include "host_table.h"
#include "membership_message.h"
#include "update_queue.h"
#include "update_relays.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** How changes reach all hosts. */
enum class dissemination_mode {
    direct,  ///< pushed to all hosts by the one that has it first
    gossip,  ///< pushed to some hosts at random by each that hears it
    relayed, ///< pushed along the relays of the data centres
};

/** How news is spread, and for how long it is told. */
struct dissemination_options {
    double copies = 1.0;          ///< on probes, times log2 of the number of hosts
    duration age = 4s;            ///< how long a piece of news rides on probes at most
    std::size_t direct_hosts = 0; ///< up to so many hosts it is pushed directly
    bool relayed = false;         ///< above, it is relayed rather than pushed at random
};

/** From where news came. */
struct update_source {
    host_id from;
    bool pushed = false; ///< otherwise it was told with a probe
};

/** News that is to be pushed now. */
struct pushed_updates {
    membership_updates everyone;
    membership_updates own_data_center;

    bool empty() const { return everyone.empty() && own_data_center.empty(); }
};

/**
 * This host's own record, the other hosts' records, and the news that is still to be told.
 *
 * Applies what arrives, refutes what is wrong about this host, and composes what is sent.
 *
 * @see failure_detector, which owns it
 */
class membership_state {
public:
    /**
     * @param self         this host's own record
     * @param options      how news is spread
     * @param now          time of the start
     */
    membership_state(host_record self, dissemination_options options, time_point now);

    /** @return how news is spread among as many hosts as are known now */
    dissemination_mode dissemination() const;

    /** @return the relays as chosen from what is known now */
    const update_relays& relays();

    /** Applies news. @return the hosts whose record changed */
    std::vector<host_record> absorb(time_point now, const membership_updates& updates,
                                    target_registry& registry, const update_source& source);

    /**
     * Applies records from a comparison of states.
     *
     * @param peer         the host that it was compared with
     * @param tell_others  whether they are news for others too; not when this host merely catches up
     * @return the hosts whose record changed
     */
    std::vector<host_record> absorb_compared(time_point now, const membership_updates& records,
                                             target_registry& registry, const host_id& peer, bool forward);

    /** Changes another host's state as observed here. @return the changed records */
    std::vector<host_record> observe(time_point now, const host_id& host, host_state state);

    /** Changes what this host says of itself, as a new version. */
    void change_self(time_point now, bool draining, host_state state);

    void change_load(time_point now, std::uint32_t load);

    /** Takes the registry's changes as news, and tells it when hosts changed. */
    void synchronise_with(time_point now, target_registry& registry);

    /** Tells this host's own record as news. */
    void enqueue_self(time_point now);

    /** @return news for a probe, led by the record of one host when that host is not known as alive */
    membership_updates compose_for_probe(time_point now, const target_registry& registry,
                                         const host_id& receiver, std::size_t max_count);

    /** @return news that has not been pushed yet */
    pushed_updates compose_for_push(const target_registry& registry, std::size_t max_count);

    /** @return all that a host which has just started is told */
    membership_updates full_state(const target_registry& registry) const;

    /** @return all known hosts, this one first */
    std::vector<host_record> all_hosts() const;

    /** @return whether a running host is known at this address */
    bool runs_at(const endpoint& address) const;

    const host_record& self() const { return m_self; }
    host_table& hosts() { return m_hosts; }
    const host_table& hosts() const { return m_hosts; }
    const update_queue& pending_updates() const { return m_pending_updates; }

private:
    /** Whether news was seen here first, or came from another host. */
    enum class update_origin {
        local,
        received,
    };
    using push_scope = std::optional<update_scope>; ///< nothing: it is not pushed on

    std::vector<host_record> apply(time_point now, const membership_updates& records,
                                   target_registry& registry, bool forward, push_scope push_on);
    bool apply_host(time_point now, const host_record& record);
    void enqueue_registry_changes(time_point now, target_registry& registry);
    void refute(time_point now, const host_record& claim);
    push_scope scope_of_received(const update_source& source);
    void enqueue(time_point now, const host_record& record, push_scope scope);
    void enqueue(time_point now, const target_record& record, update_origin origin, push_scope scope);
    std::size_t copies() const;
    std::size_t target_copies(update_origin origin) const;
    membership_updates records_of(const std::vector<update_queue::topic>& topics,
                                  const target_registry& registry) const;

    host_record m_self;
    dissemination_options m_options;
    host_table m_hosts;
    update_relays m_relays;
    update_queue m_pending_updates;
    std::uint64_t m_reported_generation = 0;
    bool m_reported_draining = false;
};

} // namespace tamarack
