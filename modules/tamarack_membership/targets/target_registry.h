#pragma once

#include "announcement.h"
#include "registrar_ranking.h"
#include "target_index.h"

#include "../hosts/host_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tamarack {

/** The information that a host holds about one target; disseminated to other hosts when it changes. */
struct target_record {
    announcement latest; ///< with the sequence number of the last disseminated change; only the registrar
                         ///< knows the load
    host_id registrar;   ///< the host that receives the target's heartbeats; empty for a restored record
    bool alive = false;  ///< false from the expiry of its lease until it is removed
    std::uint64_t version = 0; ///< increases with each disseminated change within one incarnation
    std::uint64_t incarnation_order =
        1; ///< increases with each incarnation of the target; orders incarnations, which may be random

    bool operator==(const target_record&) const = default;
};

/**
 * @return whether a record describes a later state of the same target than another record: by version
 * within one incarnation, otherwise by the order of incarnations
 */
bool is_newer(const target_record& record, const target_record& than);

/** Answer to a target's announcement. */
struct announcement_receipt {
    duration next_within{};            ///< the target must announce itself again within this time
    std::vector<endpoint> announce_to; ///< the target's registrars, in order of preference
};

/** Safeguards of the registry, which tests can switch off. Always on in the daemon. */
struct registry_protections {
    bool refuse_ended_incarnations = true;
    bool grace = true; ///< after a start or a network partition, a silent target is not declared dead
    bool wait_for_new_registrar = true; ///< targets of a dead registrar get time to find another one
    bool one_target_per_address = true;
};

/** Intervals, timeouts and limits of the registry. */
struct registry_options {
    duration target_lease = 2s;           ///< a target that is silent for this long gets no new requests
    duration heartbeat = 500ms;           ///< interval requested from targets
    duration max_heartbeat_interval = 1s; ///< interval requested from targets when many are registered here
    double heartbeats_per_second =
        6.0; ///< above this rate, longer intervals are requested, up to max_heartbeat_interval
    duration forget_after = 60s;         ///< the record of a dead target is kept for this long
    duration grace_after_isolation = 3s; ///< length of the grace period after a start or a network partition,
                                         ///< in which a silent target is not declared dead
    duration orphan_time = 3s;           ///< time for the targets of a dead registrar to find another one
    std::size_t registrars = 3;          ///< number of registrars returned to a target
    std::size_t ended_incarnations = 4;  ///< number of ended incarnations remembered for each target
    std::size_t targets = 10'000;
    std::size_t changes_in_message = 200;
    bool only_known_services =
        true; ///< otherwise a target may announce itself before a ticket defines its service
    bool incarnations_are_start_times =
        false; ///< incarnations are ordered: the latest one occupies an address, earlier ones are refused
    registry_protections protections;
};

/**
 * The targets known to this host: those registered here, through their heartbeats, and all others, through
 * updates from other hosts.
 *
 * Heartbeats and reported load stay at the registrar; only changes are disseminated. A target's own
 * sequence numbers order the records of one incarnation, so that two registrars need not coordinate.
 *
 * After each call, check changes_due() and next_timer() again.
 *
 * @see failure_detector, which disseminates the changes
 */
class target_registry {
public:
    /**
     * @param self     this host
     * @param options  intervals, timeouts and limits
     * @param now      time of the start
     */
    target_registry(host_id self, registry_options options, time_point now);

    /**
     * Handles the announcement of a target.
     *
     * @param now       time of arrival
     * @param value     the announcement
     * @param in_force  the configuration against which it is checked
     * @return the receipt, or the reason why the announcement is refused; a refused one changes no record
     */
    outcome<announcement_receipt> on_announcement(time_point now, const announcement& value,
                                                  const configuration& in_force);

    /**
     * Handles a heartbeat: a target registered here reports that only its load has changed.
     *
     * @return the receipt; not_found if a full announcement is needed, stale for an old sequence number
     */
    outcome<announcement_receipt> on_heartbeat(time_point now, const target_heartbeat& value);

    /**
     * Handles the deregistration of a target: it gets no new requests, and later announcements of this
     * incarnation are refused.
     *
     * @param incarnation  of the target; nothing if the target did not name it
     */
    outcome<done> on_deregistration(time_point now, const target_id& target,
                                    std::optional<incarnation_id> incarnation);

    /**
     * @return whether a target's record states that it is draining or has ended, and no other host has
     * confirmed yet that it holds this record
     */
    bool needs_replication(const target_id& target) const;

    /** Other hosts have confirmed that they hold this record. */
    void on_replicated(const target_record& confirmed);

    /** @return whether all that this record states about its target's end is known here */
    bool covers(const target_record& change) const;

    /**
     * Handles an answer in which a target stated that it accepts no new requests. This incarnation of it then
     * counts as draining: on this host at once, and on all hosts when the change has been disseminated. The
     * target still announces itself until it ends.
     *
     * @return whether the target was not yet known to be draining; false for an unknown incarnation
     */
    bool on_leaving(time_point now, const target_id& target, incarnation_id incarnation);

    /**
     * Restores records that were saved before a restart of this host. They are valid until the target
     * announces itself, but no longer than the grace period after the start: by then, a running target has
     * announced itself.
     *
     * Note that a restored target may no longer exist, and another process may use its address.
     */
    void restore(time_point now, const std::vector<target_record>& saved);

    /** Merges changes received from another host. @return those that were new here and must be forwarded */
    std::vector<target_record> on_changes(time_point now, const std::vector<target_record>& changes);

    /** Expires leases and removes old records. */
    void on_timer(time_point now);

    /** @return the time at which on_timer must be called next */
    time_point next_timer() const;

    /** Handles a change of isolation: this host has lost or regained contact with most other hosts. */
    void on_isolation(time_point now, bool isolated);

    /**
     * Handles a change of the known hosts: registrars are chosen among the running hosts that targets can
     * reach.
     */
    void on_hosts(time_point now, const std::vector<host_record>& hosts);

    /** Handles the death of a registrar: its targets get time to find another one. */
    void on_host_lost(time_point now, const host_id& host);

    /**
     * Handles a host's list of all targets registered at it; other targets believed to be registered there
     * must find another registrar.
     */
    void on_registered_list(time_point now, const host_id& registrar,
                            const std::vector<target_id>& registered);

    /** @return changes to disseminate, at most changes_in_message; they are then no longer due */
    std::vector<target_record> take_changes();

    /** @return whether take_changes() would return any changes; failure_detector::on_timer is due then */
    bool changes_due() const { return !m_due.empty(); }

    /**
     * @param restored  whether to include targets that this host has restored after its restart
     * @return the records to send to a new host: the targets registered at this host
     */
    std::vector<target_record> records_for_new_host(bool restored) const;

    /** @return all records, for a host that joins and for state reports */
    std::vector<target_record> all() const;

    /** @return the record of a target, or nullptr */
    const target_record* find(const target_id& target) const;

    /** @return the records of a service's usable targets: those that are alive and ready */
    std::vector<target_record> usable(const service_id& service) const;

    /**
     * @return a target's registrars in order of preference: by rendezvous hashing, those in its data centre
     * first
     */
    std::vector<host_id> registrars_of(const announcement& value) const;

    /** @return the records of live targets registered at a host, as far as known here */
    std::vector<target_record> registered_at(const host_id& host) const;

    /** Calls a function with each record and the time at which it last changed on this host. */
    template <typename Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [target, current] : m_entries) {
            visit(current.record, current.changed_at);
        }
    }

    /** @return a number that increases whenever usable() may have changed */
    std::uint64_t generation() const { return m_generation; }

    /** @return the number of targets registered at this host */
    std::size_t registered_count() const { return m_registered_count; }

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        target_record record;
        std::uint64_t received_sequence =
            0; ///< of the last announcement received here; a change of it alone is not disseminated
        time_point changed_at{};
        time_point warm_at{};  ///< end of the warm-up, by the announcement that was disseminated last
        time_point deadline{}; ///< expiry of the lease or of the orphan time, or the time at which the record
                               ///< is removed
        bool has_deadline = false;
        bool registered_here = false;
        bool restored_from_own_disk = false; ///< restored after a restart of this host
        bool replicated = false;             ///< other hosts have confirmed that they hold this record
        std::vector<incarnation_id> ended;
    };

    outcome<done> check_against_records(const announcement& value) const;
    outcome<done> check_address(const announcement& value) const;
    void end_others_at_address(time_point now, const announcement& value);
    void mark_ended(time_point now, entry& current);
    bool is_permanently_draining(const entry& current, incarnation_id incarnation) const;
    void mark_draining(time_point now, entry& current);
    void extend_drained_record(time_point now, const announcement& value);
    announcement_receipt receipt_for(const announcement& value) const;
    void accept(time_point now, entry& current, const announcement& value);
    bool merge(time_point now, const target_record& change);
    bool merge_restored(time_point now, const target_record& saved);
    void publish_change(time_point now, entry& current);
    void replace(time_point now, entry& current, const target_record& change);
    void end_incarnation(entry& current, incarnation_id incarnation) const;
    void set_registered_here(entry& current, bool registered);
    void set_deadline(entry& current, time_point deadline);
    void clear_deadline(entry& current);
    void on_deadline(time_point now, entry& current);
    void mark_orphaned(time_point now, entry& current);
    void erase(const target_id& target);
    void mark_due(const target_id& target);
    bool in_grace_period(time_point now) const;

    host_id m_self;
    registry_options m_options;
    std::map<target_id, entry> m_entries;
    target_index m_index;
    std::set<std::pair<time_point, target_id>> m_deadlines;
    std::vector<target_id> m_due;
    std::set<target_id> m_due_set;
    registrar_ranking m_registrars;
    std::size_t m_registered_count = 0;
    std::uint64_t m_generation = 0;
    time_point m_grace_ends{};
    bool m_isolated = false;
};

} // namespace tamarack
