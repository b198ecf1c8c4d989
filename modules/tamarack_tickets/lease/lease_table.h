#pragma once

#include "lease_holder.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace tamarack {

/** The granting leader's record of one lease holder. */
struct lease_record {
    host_id host;
    incarnation_id incarnation;
    time_point ends_at; ///< by the leader's clock, lengthened for drift; the lease ends earlier at the holder
    ticket_number acknowledged;           ///< latest ticket that the holder reported to serve under
    std::uint64_t acknowledged_epoch = 0; ///< latest assignment epoch that it reported to apply
};

/** How far a ticket or an assignment epoch is applied by the hosts that may be serving. */
struct rollout_status {
    bool in_force = false;            ///< every host that may be serving applies it or a later one
    std::vector<host_id> waiting_for; ///< holders that may still serve under an older one
    time_point in_force_by;           ///< latest time at which it comes into force
};

/**
 * The leader's record of leases: which hosts may be serving under which ticket and epoch.
 *
 * A grant that names a ticket doesn't extend the right to serve under an older ticket. For each holder, the
 * table therefore stores when the last grant that named each ticket and each epoch ends. A holder whose
 * renewals arrive, but which no longer receives the grants, thus counts as serving under an older ticket only
 * until the last grant that named that ticket ends.
 *
 * A new leader doesn't know the grants of its predecessors. Until all of these must have ended, it assumes
 * that every host may hold a lease.
 */
class lease_table {
public:
    /**
     * @param options  lease times, equal on all hosts
     * @param now      when this member became leader
     */
    lease_table(lease_options options, time_point now);

    /**
     * Skips the wait for leases that predecessors granted. To be called when there is no ticket yet, since a
     * lease without a ticket doesn't allow its holder to serve anything.
     */
    void skip_predecessor_wait();

    /** @return the latest time at which a lease granted by a predecessor may still run */
    time_point predecessors_end() const { return m_predecessors_end; }

    /**
     * Records a grant that is about to be sent.
     *
     * @param now         when a majority confirmed the leader's state, or later
     * @param host        the holder
     * @param incarnation the holder's incarnation; the record of a former one stays until its lease has ended
     * @param renewal     the holder's request
     * @param granted     the grant to be sent
     */
    void on_renewal(time_point now, const host_id& host, incarnation_id incarnation,
                    const lease_renewal& renewal, const lease_grant& granted);

    /** Removes a holder that released its lease during a graceful shutdown. */
    void on_release(const host_id& host, incarnation_id incarnation);

    /** @return how far this ticket or a later one is applied by the hosts that may be serving */
    rollout_status ticket_state(time_point now, ticket_number number) const;

    /** @return how far this assignment epoch or a later one is applied by the hosts that may be serving */
    rollout_status epoch_state(time_point now, std::uint64_t epoch) const;

    /**
     * @return whether this incarnation of a host may hold a lease; true for every host while leases that
     *         predecessors granted may run
     */
    bool may_hold(time_point now, const host_id& host, incarnation_id incarnation) const;

    /** @return the holders with a running lease, ordered by host */
    std::vector<lease_record> holders(time_point now) const;

    /** Removes holders whose lease has run out. */
    void remove_expired(time_point now);

private:
    /** For each number of a ticket or an epoch, when the last grant that named it ends. */
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
