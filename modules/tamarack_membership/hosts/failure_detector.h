#pragma once

#include "isolation_monitor.h"
#include "membership_message.h"
#include "membership_state.h"
#include "new_hosts.h"
#include "probe_order.h"
#include "update_replication.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace tamarack {

/** Sends a message to a host; the message may be lost. */
struct send_membership {
    host_id to; ///< empty for a seed host whose name is not known yet
    endpoint address;
    membership_message message;
};

/** Sends the same updates to several hosts, encoded once; the message may be lost. */
struct multicast_membership {
    struct receiver {
        host_id host;
        endpoint address;
    };
    std::vector<receiver> to;
    update_push push;
};

/** Reports that a host's record has changed on this host. */
struct host_changed {
    host_record record;
};

using membership_action = std::variant<send_membership, multicast_membership, host_changed>;
using membership_actions = std::vector<membership_action>;

/** Safeguards of the failure detector, which tests can switch off. Always on in the daemon. */
struct detector_protections {
    bool suspect_first =
        true; ///< a host that does not answer is suspected first and can refute the suspicion
    bool pause_while_isolated = true; ///< while isolated, this host declares no other host dead
    bool probe_dead = true;  ///< dead hosts and missing seeds are probed occasionally, to detect that a
                             ///< network partition has healed
    bool final_probe = true; ///< a suspect is probed once more before it is declared dead
};

/** Intervals, timeouts and limits of the failure detector. */
struct detector_options {
    duration probe_interval = 1s;
    duration probe_timeout = 200ms; ///< after this, other hosts are asked to probe (indirect probes)
    duration probe_limit = 600ms;   ///< after this, the host becomes a suspect
    duration final_probe = 600ms; ///< a suspect is probed once more this long before its suspicion times out
    duration suspicion_timeout = 1500ms; ///< after this, a suspect is declared dead
    std::size_t indirect_probes = 3;
    std::size_t max_updates_per_message = 40;
    double update_copies =
        1.0; ///< number of probes that carry an update, as a multiple of log2 of the number of hosts
    duration max_update_age = 4s; ///< probes carry an update for at most this long
    std::size_t push_fanout = 3;  ///< updates are pushed to this many hosts plus ln of the number of hosts
    std::size_t max_direct_push_hosts =
        0; ///< up to this many hosts, the origin of an update pushes it to all hosts
    bool relay_updates =
        false; ///< above that number, updates are pushed through the relays of the data centres
    duration push_delay = 20ms; ///< updates that arrive within this time are pushed in one message
    /**
     * Push delay of a relay, for each host that it forwards to; limits the number of messages that it sends
     * per second.
     */
    duration relay_delay_per_host = 4ms;
    std::size_t max_relayed_per_message = 400; ///< records in one message sent through the relays
    duration sync_interval = 10s;              ///< interval between comparisons of state with a random host
    std::size_t max_sync_records =
        100; ///< approximate number of records in one message of a state comparison
    isolation_options isolation;
    replication_options replication;
    duration forget_after = 10min;
    detector_protections protections;
};

/**
 * Detects which hosts are running by probing one random host in each interval, and disseminates updates
 * between hosts.
 *
 * The cost per host does not depend on the number of hosts. The detector itself notifies the registry of
 * host changes and of isolation. Pass it messages and the current time; also call on_timer whenever the
 * registry's changes_due() returns true.
 *
 * Each host that receives an update for the first time pushes it immediately to a few random hosts. Probes
 * also carry the update for a while, and hosts compare their states by hashes of groups of records, which
 * repairs what pushes and probes have missed. With few hosts, the origin pushes an update to all hosts, and
 * a host that it does not know yet would miss the update; therefore every host that learns of a running host
 * sends that host its own record and the targets registered at it. With more hosts, updates go through the
 * relays of the data centres, and a relay sends its full state to a host that has just started.
 */
class failure_detector {
public:
    /**
     * @param self     this host's own record; callers_address is empty for a pure control host
     * @param seeds    records of hosts to contact first; their names and incarnations may be unknown
     * @param options  intervals, timeouts and limits
     * @param random   chooses the hosts to probe
     * @param now      time of the start
     */
    failure_detector(host_record self, std::vector<host_record> seeds, detector_options options,
                     random_source random, time_point now);

    /**
     * Handles a received message.
     *
     * @param registry  receives updates about targets and supplies this host's own
     */
    membership_actions on_message(time_point now, const membership_message& message,
                                  target_registry& registry);

    /** Call at the time returned by next_timer(), or when the registry has changes due. */
    membership_actions on_timer(time_point now, target_registry& registry);

    /** @return the time at which on_timer must be called next */
    time_point next_timer() const;

    /** Marks this host as draining or as back in service; the change is disseminated immediately. */
    membership_actions set_draining(time_point now, bool draining);

    /** Sets this host's load, in thousandths of a core, after a change large enough to be reported. */
    membership_actions set_load(time_point now, std::uint32_t load);

    /**
     * Replicates the record of a target that is draining or has ended, so that the loss of this host does not
     * lose it.
     *
     * @param completed  called once other hosts hold the record, or at once if no other host runs; with
     * `unavailable` if too few have confirmed in time, or if the other hosts are out of reach
     */
    membership_actions replicate(time_point now, const target_id& target, target_registry& registry,
                                 update_replication::completion completed);

    /** Announces to some other hosts that this host is shutting down. */
    membership_actions leave(time_point now);

    /** @return all known hosts, including this one */
    std::vector<host_record> hosts() const { return m_state.all_hosts(); }

    /** @return the number of known hosts, including this one */
    std::size_t known_hosts() const { return m_state.hosts().peers().size() + 1; }

    /** @return the record of a known host, which may be this one, or nullptr */
    const host_record* find(const host_id& host) const;

    /** @return a number that increases whenever hosts() may have changed */
    std::uint64_t generation() const { return m_state.hosts().generation() + m_state.self().version; }

    /** @return whether so few hosts answer that this host is probably cut off from the others */
    bool isolated() const { return m_isolation.isolated(); }

    const host_record& self() const { return m_state.self(); }

private:
    static constexpr duration sync_timeout = 1s; ///< without a reply, another host is asked
    /** Wait for another state comparison, after a start or one that failed. */
    static constexpr duration sync_retry_delay = 500ms;

    struct pending_probe {
        host_id subject;
        time_point sent_at;
        bool indirect_sent = false;
        bool counts_as_evidence = true; ///< whether its result counts towards suspicion and isolation
    };
    struct indirect_probe {
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
    void handle(time_point now, const push_confirmation& message, target_registry& registry);

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
    std::vector<host_id> replication_candidates();
    void send_replicated();
    void confirm(time_point now, const update_push& message, const target_registry& registry);
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
    std::map<std::uint64_t, indirect_probe> m_indirect_probes;
    std::map<host_id, time_point>
        m_final_probes; ///< suspects that have been probed a last time, with the start of the suspicion
    std::optional<pending_sync> m_sync;
    std::vector<sync_request> m_sync_requests;
    std::uint64_t m_next_number = 1;
    time_point m_last_timer{};
    time_point m_next_probe{};
    time_point m_next_push = time_point::max();
    time_point m_next_sync{};
    duration
        m_sync_wait; ///< until the next state comparison; short after a start or after a partition has healed
    std::uint64_t m_seen_revivals = 0;
    new_hosts m_new_hosts;
    update_replication m_replication;
    bool m_joined =
        false; ///< whether a state comparison has completed since the start or since a partition healed
    membership_actions m_actions;
};

} // namespace tamarack
