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

/** What a host holds of one target; spread between hosts when it changes. */
struct target_record {
    announcement latest; ///< its sequence is that of the last change; its load is known at the registrar only
    host_id registrar;   ///< the host that hears the target's heartbeats; empty for a restored record
    bool alive = false;  ///< false once its lease ran out, until it is forgotten
    std::uint64_t version = 0; ///< grows with each spread change, within one incarnation
    std::uint64_t incarnation_order =
        1; ///< grows with each incarnation of the target; orders incarnations, which are random

    bool operator==(const target_record&) const = default;
};

/**
 * @return whether a record tells of a later state of the same target than another: within one incarnation by
 * version, else by the order of incarnations
 */
bool is_newer(const target_record& record, const target_record& than);

/** Answer to an announcing target. */
struct announcement_receipt {
    duration next_within{};            ///< announce again before this has passed
    std::vector<endpoint> announce_to; ///< the hosts that keep this target, first choice first
};

/** Protections of the registry that tests switch off. Always on in the daemon. */
struct registry_protections {
    bool refuse_ended_incarnations = true;
    bool grace = true;                  ///< after a start or a cut, silence is not taken for death
    bool wait_for_new_registrar = true; ///< targets of a dead registrar are given time to find another
    bool one_target_an_address = true;
};

/** Times and bounds of the registry. */
struct registry_options {
    duration target_lease = 2s;           ///< silence after which a target gets no new work
    duration heartbeat = 500ms;           ///< asked of targets
    duration max_heartbeat_interval = 1s; ///< asked of targets when this host keeps many
    double heartbeats_per_second = 6.0; ///< above this rate, targets are asked for fewer, down to the slowest
    duration forget_after = 60s;        ///< a target that is gone is remembered for this long
    duration grace_after_isolation =
        3s;                     ///< after a start or a cut, silence is not taken for death for this long
    duration orphan_time = 3s;  ///< for the targets of a dead registrar to find another one
    std::size_t registrars = 3; ///< hosts named to a target
    std::size_t ended_incarnations = 4; ///< remembered of each target
    std::size_t targets = 10'000;
    std::size_t changes_in_message = 200;
    bool only_known_services =
        true; ///< otherwise a target may announce itself before a ticket names its service
    bool incarnations_are_start_times =
        false; ///< incarnations are ordered: the latest one holds an address, earlier ones are refused
    registry_protections protections;
};

/**
 * The targets that this host knows: those that it keeps, by their heartbeats, and all others, by spread
 * changes.
 *
 * Heartbeats and reported load stay at the registrar; only changes are spread. A target's own sequence
 * numbers order the records of one incarnation, so that two registrars need not agree with each other.
 *
 * After each call, ask changes_due and next_timer again.
 *
 * @see failure_detector, which carries the spread changes
 */
class target_registry {
public:
    /**
     * @param self     this host
     * @param options  times and bounds
     * @param now      time of the start
     */
    target_registry(host_id self, registry_options options, time_point now);

    /**
     * A target announced itself here.
     *
     * @param now    time of arrival
     * @param value  the announcement
     * @param in_force  the configuration that it is checked against
     * @return the receipt, or why it is refused (nothing has changed then)
     */
    outcome<announcement_receipt> on_announcement(time_point now, const announcement& value,
                                                  const configuration& in_force);

    /**
     * A target that is kept here says that only its load changed.
     *
     * @return the receipt; not_found when a full announcement is needed, stale for an old sequence
     */
    outcome<announcement_receipt> on_heartbeat(time_point now, const target_heartbeat& value);

    /**
     * A target says that it ends: it gets no new work, and nothing more is heard of this incarnation.
     *
     * @param incarnation  of the target; nothing when it did not say
     */
    outcome<done> on_deregistration(time_point now, const target_id& target,
                                    std::optional<incarnation_id> incarnation);

    /**
     * A target said in an answer that it takes no new work: it counts as draining in that incarnation, here
     * and, by the spread change, everywhere. It still announces itself until it ends.
     *
     * @return whether this was news here; an incarnation that is not known has nothing to be withdrawn
     */
    bool on_leaving(time_point now, const target_id& target, incarnation_id incarnation);

    /**
     * Takes records that were kept over a start of this host. They hold until the target announces itself,
     * and only for the grace after the start: by then a target that lives has been heard.
     *
     * Watch out: a restored target may be gone and its address in other use.
     */
    void restore(time_point now, const std::vector<target_record>& saved);

    /** Changes arrived from another host. @return those that were news here, to be spread further */
    std::vector<target_record> on_changes(time_point now, const std::vector<target_record>& changes);

    /** Expires leases and forgets. */
    void on_timer(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    /** The host lost or regained contact with most other hosts. */
    void on_isolation(time_point now, bool isolated);

    /** The known hosts changed: registrars are chosen among the live ones that targets can reach. */
    void on_hosts(time_point now, const std::vector<host_record>& hosts);

    /** A host that keeps targets died: its targets are given time to find another registrar. */
    void on_host_lost(time_point now, const host_id& host);

    /** A host listed all targets that it keeps; others believed to be kept there must find a registrar. */
    void on_registered_list(time_point now, const host_id& registrar,
                            const std::vector<target_id>& registered);

    /** @return changes that are to be spread, at most changes_in_message; they are then no longer due */
    std::vector<target_record> take_changes();

    /** @return whether take_changes has something to give; failure_detector::on_timer is due then */
    bool changes_due() const { return !m_due.empty(); }

    /**
     * @param restored  whether to name those that this host has kept over its start as well
     * @return what a host that was just met is told: the targets that this host keeps
     */
    std::vector<target_record> records_for_new_host(bool restored) const;

    /** @return every record, for a host that joins and for state reports */
    std::vector<target_record> all() const;

    /** @return the record of a target, or nullptr */
    const target_record* find(const target_id& target) const;

    /** @return records of usable targets of a service: alive and ready */
    std::vector<target_record> usable(const service_id& service) const;

    /** @return the hosts that keep a target, first choice first: by rendezvous hashing, a near one first */
    std::vector<host_id> registrars_of(const announcement& value) const;

    /** @return records of live targets whose registrar is a host, as far as known here */
    std::vector<target_record> registered_at(const host_id& host) const;

    /** Calls a function with each record and the time of its last change here. */
    template <typename Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [target, known] : m_entries) {
            visit(known.record, known.changed_at);
        }
    }

    /** @return a number that grows whenever usable() may have changed */
    std::uint64_t generation() const { return m_generation; }

    /** @return how many targets this host keeps */
    std::size_t registered_count() const { return m_registered_count; }

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        target_record record;
        std::uint64_t received_sequence = 0; ///< of the last announcement heard here; not spread by itself
        time_point changed_at{};
        time_point deadline{}; ///< of the lease, of an orphan's time, or until it is forgotten
        bool has_deadline = false;
        bool registered_here = false;
        bool restored_here = false; ///< kept over this host's own start
        std::vector<incarnation_id> ended;
    };

    outcome<done> check_against_records(const announcement& value) const;
    outcome<done> check_address(const announcement& value) const;
    void end_others_at_address(time_point now, const announcement& value);
    void mark_ended(time_point now, entry& known);
    bool is_permanently_draining(const entry& known, incarnation_id incarnation) const;
    void mark_draining(time_point now, entry& known);
    void extend_drained_record(time_point now, const announcement& value);
    announcement_receipt receipt_for(const announcement& value) const;
    void accept(time_point now, entry& known, const announcement& value);
    bool merge(time_point now, const target_record& change);
    bool merge_restored(time_point now, const target_record& saved);
    void publish_change(time_point now, entry& known);
    void replace(time_point now, entry& known, const target_record& change);
    void end_incarnation(entry& known, incarnation_id incarnation) const;
    void set_registered_here(entry& known, bool registered);
    void set_deadline(entry& known, time_point deadline);
    void clear_deadline(entry& known);
    void on_deadline(time_point now, entry& known);
    void mark_orphaned(time_point now, entry& known);
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
