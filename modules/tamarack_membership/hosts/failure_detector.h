#pragma once

#include "isolation_monitor.h"
#include "membership_message.h"
#include "membership_state.h"
#include "new_hosts.h"
#include "probe_order.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace tamarack {

/** Send a message to a host; loss is allowed. */
struct send_membership {
    host_id to; ///< empty for a seed whose name is not known yet
    endpoint address;
    membership_message message;
};

/** Send the same news to several hosts, written once; loss is allowed. */
struct multicast_membership {
    struct receiver {
        host_id host;
        endpoint address;
    };
    std::vector<receiver> to;
    update_push push;
};

/** A host's state changed here. */
struct host_changed {
    host_record record;
};

using membership_action = std::variant<send_membership, multicast_membership, host_changed>;
using membership_actions = std::vector<membership_action>;

/** Protections of the failure detector that tests switch off. Always on in the daemon. */
struct detector_protections {
    bool suspect_first = true;        ///< a host that does not answer gets time to refute
    bool pause_while_isolated = true; ///< an isolated host takes nobody for dead
    bool probe_dead = true;  ///< dead hosts and missing seeds are asked now and then: a healed cut is noticed
    bool final_probe = true; ///< a suspect is asked once more before it is taken for dead
};

/** Times and bounds of the failure detector. */
struct detector_options {
    duration probe_interval = 1s;
    duration probe_timeout = 200ms;      ///< then others are asked to probe
    duration probe_limit = 600ms;        ///< then the host is suspected
    duration final_probe = 600ms;        ///< before a suspicion ends, the suspect is asked once more
    duration suspicion_timeout = 1500ms; ///< then a suspect is dead
    std::size_t indirect_probes = 3;
    std::size_t max_updates_per_message = 40;
    double update_copies = 1.0; ///< times log2 of the number of hosts: how often probes carry a piece of news
    duration max_update_age = 4s; ///< how long news rides on probes at most
    std::size_t push_fanout = 3;  ///< and ln of the number of hosts: to how many hosts news is pushed
    std::size_t max_direct_push_hosts =
        0;                      ///< up to so many hosts, news is pushed to all by whoever has it first
    bool relay_updates = false; ///< above, it goes along the relays of the data centres
    duration push_delay = 20ms; ///< news that comes within this is pushed together
    /** The same at a relay, for each host that it tells: bounds its messages a second. */
    duration relay_delay_per_host = 4ms;
    std::size_t max_relayed_per_message = 400; ///< records in one message along the relays
    duration sync_interval = 10s;              ///< states are compared with a random host this often
    std::size_t max_sync_records = 100;        ///< records in one message of a comparison, about
    isolation_options isolation;
    duration forget_after = 10min;
    detector_protections protections;
};

/**
 * Finds out which hosts live, by probing one at random in each interval, and carries news between them.
 *
 * Its cost per host does not depend on the number of hosts. It tells the registry about lost hosts and about
 * isolation itself. Feed it messages and the time; call on_timer also whenever the registry's changes_due.
 *
 * News is pushed at once to a few hosts at random by each host that hears it first, rides on probes for a
 * while, and is compared by hashes of groups of records, which mends what both have missed. Where news is
 * pushed to all hosts by one, a host that it did not know then would miss it: whoever learns of a running
 * host tells it its own record and the targets that it keeps. Among more hosts, news goes along the relays of
 * the data centres, and a relay tells a host that has just started all that it knows.
 */
class failure_detector {
public:
    /**
     * @param self     this host's own record; callers_address empty for a pure control host
     * @param seeds    records of hosts to contact first; their name and incarnation may be unknown
     * @param options  times and bounds
     * @param random   chooses whom to probe
     * @param now      time of the start
     */
    failure_detector(host_record self, std::vector<host_record> seeds, detector_options options,
                     random_source random, time_point now);

    /**
     * A message arrived.
     *
     * @param registry  takes and gives the news about targets
     */
    membership_actions on_message(time_point now, const membership_message& message,
                                  target_registry& registry);

    /** The time of next_timer has come, or the registry has changes due. */
    membership_actions on_timer(time_point now, target_registry& registry);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    /** This host drains or goes back to work; spread at once. */
    membership_actions set_draining(time_point now, bool draining);

    /** This host's load, in thousandths of a core, has changed enough to be told. */
    membership_actions set_load(time_point now, std::uint32_t load);

    /** This host stops; tells some others. */
    membership_actions leave(time_point now);

    /** @return all known hosts, this one included */
    std::vector<host_record> hosts() const { return m_state.all_hosts(); }

    /** @return how many hosts are known, this one included */
    std::size_t known_hosts() const { return m_state.hosts().peers().size() + 1; }

    /** @return the record of a known host, this one included, or nullptr */
    const host_record* find(const host_id& host) const;

    /** @return a number that grows whenever hosts() may have changed */
    std::uint64_t generation() const { return m_state.hosts().generation() + m_state.self().version; }

    /** @return whether so few hosts answer that this one is probably cut off */
    bool isolated() const { return m_isolation.isolated(); }

    const host_record& self() const { return m_state.self(); }

private:
    struct pending_probe {
        host_id subject;
        time_point sent_at;
        bool indirect_sent = false;
        bool counts_as_evidence = true; ///< towards suspicion and isolation
    };
    struct relayed_probe {
        host_id requester;
        std::uint64_t number = 0;
        host_id subject;
        time_point sent_at;
    };
    struct pending_sync {
        std::uint64_t number = 0;
        host_id peer;
        time_point sent_at;
    };

    void handle(time_point now, const probe_request& message, target_registry& registry);
    void handle(time_point now, const probe_reply& message, target_registry& registry);
    void handle(time_point now, const update_push& message, target_registry& registry);
    void handle(time_point now, const sync_request& message, target_registry& registry);
    void handle(time_point now, const sync_reply& message, target_registry& registry);

    void relay(time_point now, const probe_request& message, target_registry& registry);
    void probe_next(time_point now, target_registry& registry);
    void probe(time_point now, const host_id& subject, bool counts_as_evidence, target_registry& registry);
    void send_probe(time_point now, const host_id& subject, std::uint64_t number, target_registry& registry);
    void probe_dead(time_point now, target_registry& registry);
    void probe_seed(time_point now);
    void check_probes(time_point now, target_registry& registry);
    void on_probe_timeout(time_point now, const pending_probe& running, std::uint64_t number,
                          target_registry& registry);
    void send_indirect_probes(time_point now, const host_id& subject, std::uint64_t number,
                              target_registry& registry);
    void on_probe_failed(time_point now, const pending_probe& ended, target_registry& registry);
    void expire_suspicions(time_point now);
    void send_final_probes(time_point now, target_registry& registry);
    void push_updates(time_point now, target_registry& registry);
    void push_relayed_updates(target_registry& registry);
    void send_state_to_new_hosts(const target_registry& registry);
    void send_state_as_relay(const std::vector<host_id>& new_hosts, const target_registry& registry);
    void multicast(const std::vector<host_id>& to, membership_updates updates);
    duration push_delay();
    std::vector<host_id> sync_candidates();
    bool sends_restored_to(const host_id& new_host) const;
    void start_sync(time_point now, const host_id& peer, std::size_t first_group, target_registry& registry);
    void compare_states(time_point now, target_registry& registry);
    void answer_syncs(time_point now, target_registry& registry);
    void record_result(time_point now, bool answered, target_registry& registry);
    void send(const host_id& to, membership_message message);
    void report(const std::vector<host_record>& changed);
    membership_actions take_actions(time_point now);
    bool paused() const;
    std::size_t push_count() const;

    membership_state m_state;
    std::vector<host_record> m_seeds;
    detector_options m_options;
    random_source m_random;
    isolation_monitor m_isolation;
    probe_order m_order;
    std::map<std::uint64_t, pending_probe> m_probes;
    std::map<std::uint64_t, relayed_probe> m_relayed_probes;
    std::map<host_id, time_point>
        m_final_probes; ///< suspects that were asked once more, with their suspicion
    std::optional<pending_sync> m_sync;
    std::vector<sync_request> m_sync_requests;
    std::uint64_t m_next_number = 1;
    time_point m_last_timer{};
    time_point m_next_probe{};
    time_point m_next_push = time_point::max();
    time_point m_next_sync{};
    duration m_sync_wait; ///< until the next comparison; short after a start or a heal
    std::uint64_t m_seen_revivals = 0;
    new_hosts m_new_hosts;
    bool m_joined = false; ///< whether a comparison of states has been completed since the start or a heal
    membership_actions m_actions;
};

} // namespace tamarack
