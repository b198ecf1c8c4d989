#pragma once

#include "lease_holder.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

/** One holder as the granting leader knows it. */
struct lease_record {
    host_id host;
    incarnation_id incarnation;
    time_point ends_at; ///< by the leader's clock, drift included: the holder's own end is earlier
    ticket_number acknowledged;
    std::uint64_t acknowledged_epoch = 0;
};

/** How far a number has spread. */
struct rollout_status {
    bool in_force = false;
    std::vector<host_id> waiting_for; ///< holders that have not acknowledged and whose lease still runs
    time_point in_force_by;           ///< by then it is in force in any case
};

/**
 * The leader's side of leases: who may be serving under what.
 *
 * A grant that names a ticket can't extend the service of an older one, so the book keeps, for each holder
 * and each number that grants named, when the last of those grants ends. A holder that receives nothing any
 * more thus stops counting as a server of the old number even while its renewals still arrive.
 *
 * A new leader doesn't know its predecessor's grants; until they must have run out it treats them as waiting.
 */
class lease_table {
public:
    /**
     * @param options  times of the leases, equal on all hosts
     * @param now      when this member became leader
     */
    lease_table(lease_options options, time_point now);

    /** No predecessor can have granted a lease that serves anything: there is no ticket yet. */
    void skip_predecessor_wait();

    /** @return until when leases that a predecessor granted may run */
    time_point predecessors_end() const { return m_predecessors_end; }

    /**
     * Records a grant that is about to be sent.
     *
     * @param now     when the leader's state was confirmed by a majority, or later
     * @param host    the holder
     * @param incarnation    its incarnation; the record of an old one stays until its lease has run out
     * @param renewal what the holder sent
     * @param granted what is sent to it
     */
    void on_renewal(time_point now, const host_id& host, incarnation_id incarnation,
                    const lease_renewal& renewal, const lease_grant& granted);

    /** A holder gave its lease back, at a graceful shutdown. */
    void on_release(const host_id& host, incarnation_id incarnation);

    /** @return whether every possible server applies this ticket or a later one */
    rollout_status ticket_state(time_point now, ticket_number number) const;

    /** @return whether every possible server applies this assignment epoch or a later one */
    rollout_status epoch_state(time_point now, std::uint64_t epoch) const;

    /** @return whether this incarnation of a host may hold a lease, as far as is known */
    bool may_hold(time_point now, const host_id& host, incarnation_id incarnation) const;

    /** @return holders whose lease runs, by host */
    std::vector<lease_record> holders(time_point now) const;

    /** Forgets holders whose lease has run out. */
    void remove_expired(time_point now);

private:
    /** Ends of grants by the number that they named. */
    using ends_by_number = std::map<std::uint64_t, time_point>;

    struct holder_entry {
        lease_record record;
        ends_by_number ticket_ends;
        ends_by_number epoch_ends;
    };

    template <typename Acknowledged, typename Ends>
    rollout_status state_of(time_point now, std::uint64_t number, Acknowledged acknowledged, Ends ends) const;

    lease_options m_options;
    time_point m_predecessors_end;
    std::map<std::pair<host_id, incarnation_id>, holder_entry> m_entries;
};

} // namespace tamarack
