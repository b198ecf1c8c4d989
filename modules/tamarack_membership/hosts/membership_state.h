#pragma once

#include "host_table.h"
#include "membership_message.h"
#include "update_queue.h"
#include "update_relays.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/** How updates reach all hosts. */
enum class dissemination_mode {
    direct,  ///< the origin pushes an update to all hosts
    gossip,  ///< each host that receives an update pushes it to some random hosts
    relayed, ///< updates are pushed through the relays of the data centres
};

/** How updates are disseminated, and for how long. */
struct dissemination_options {
    double copies =
        1.0; ///< number of probes that carry an update, as a multiple of log2 of the number of hosts
    duration age = 4s;            ///< probes carry an update for at most this long
    std::size_t direct_hosts = 0; ///< up to this many hosts, updates are pushed directly
    bool relayed = false; ///< above that number, updates are relayed rather than pushed to random hosts
};

/** Where updates came from. */
struct update_source {
    host_id from;
    bool pushed = false; ///< otherwise a probe carried them
};

/** Updates to push now. */
struct pushed_updates {
    membership_updates everyone;
    membership_updates own_data_center;

    bool empty() const { return everyone.empty() && own_data_center.empty(); }
};

/**
 * This host's own record, the other hosts' records, and the updates that are still to be sent.
 *
 * Applies received updates, refutes wrong claims about this host, and composes what is sent.
 *
 * @see failure_detector, which owns it
 */
class membership_state {
public:
    /**
     * @param self     this host's own record
     * @param options  how updates are disseminated
     * @param now      time of the start
     */
    membership_state(host_record self, dissemination_options options, time_point now);

    /** @return the dissemination mode for the number of hosts known now */
    dissemination_mode dissemination() const;

    /** @return the relays, chosen from the hosts known now */
    const update_relays& relays();

    /** Applies received updates. @return the hosts whose records changed */
    std::vector<host_record> absorb(time_point now, const membership_updates& updates,
                                    target_registry& registry, const update_source& source);

    /**
     * Applies records from a state comparison.
     *
     * @param peer     the host whose state was compared with this host's
     * @param forward  whether to forward them to other hosts; false while this host merely catches up
     * @return the hosts whose records changed
     */
    std::vector<host_record> absorb_compared(time_point now, const membership_updates& records,
                                             target_registry& registry, const host_id& peer, bool forward);

    /** Changes another host's state as observed by this host. @return the changed records */
    std::vector<host_record> observe(time_point now, const host_id& host, host_state state);

    /** Changes this host's own record, under a new version. */
    void change_self(time_point now, bool draining, host_state state);

    void change_load(time_point now, std::uint32_t load);

    /** Queues the registry's changes as updates, and notifies the registry of changed hosts. */
    void synchronise_with(time_point now, target_registry& registry);

    /** Queues a target's record as an update for all hosts, as if it originated here. */
    void forward_to_all(time_point now, const target_record& record);

    /** Queues this host's own record as an update. */
    void enqueue_self(time_point now);

    /**
     * @return updates for a probe; if this host does not consider the receiver alive, the receiver's record
     * comes first, so that the receiver can refute it
     */
    membership_updates compose_for_probe(time_point now, const target_registry& registry,
                                         const host_id& receiver, std::size_t max_count);

    /** @return updates that have not been pushed yet */
    pushed_updates compose_for_push(const target_registry& registry, std::size_t max_count);

    /** @return the complete state, as sent to a host that has just started */
    membership_updates full_state(const target_registry& registry) const;

    /** @return all known hosts, this one first */
    std::vector<host_record> all_hosts() const;

    /** @return whether a running host with this address is known */
    bool runs_at(const endpoint& address) const;

    const host_record& self() const { return m_self; }
    host_table& hosts() { return m_hosts; }
    const host_table& hosts() const { return m_hosts; }
    const update_queue& pending_updates() const { return m_pending_updates; }

private:
    /** Whether an update originates at this host or was received from another one. */
    enum class update_origin {
        local,
        received,
    };
    using push_scope = std::optional<update_scope>; ///< nothing if the update is not pushed

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
