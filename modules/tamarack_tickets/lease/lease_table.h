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
    time_point ends_at; ///< by the leader's clock, lengthened by the drift; the holder's own end is earlier
    ticket_number acknowledged;
    std::uint64_t acknowledged_epoch = 0;
};

/** Progress of a ticket or epoch towards being applied by every host that may be serving. */
struct rollout_status {
    bool in_force = false;
    std::vector<host_id> waiting_for; ///< holders with a running lease that have not acknowledged it
    time_point in_force_by;           ///< latest time at which it comes into force
};

/**
 * The leader's record of leases: which hosts may be serving under which ticket and epoch.
 *
 * A grant that names a ticket can't extend the right to serve under an older one. For each holder and each
 * number named in grants, the table therefore stores when the last of those grants ends. A holder that no
 * longer receives anything thus stops counting as a server of the old number, even while its renewals still
 * arrive.
 *
 * A new leader doesn't know its predecessor's grants. Until they must have run out, it counts them as
 * outstanding.
 */
class lease_table {
public:
    /**
     * @param options  lease times, equal on all hosts
     * @param now      when this member became leader
     */
    lease_table(lease_options options, time_point now);

    /**
     * Skips the wait for leases that predecessors granted. Called when there is no ticket yet, as such a
     * lease doesn't allow its holder to serve anything.
     */
    void skip_predecessor_wait();

    /** @return the latest time at which a lease granted by a predecessor may still run */
    time_point predecessors_end() const { return m_predecessors_end; }

    /**
     * Records a grant that is about to be sent.
     *
     * @param now         when a majority confirmed the leader's state, or later
     * @param host        the holder
     * @param incarnation the holder's incarnation; the record of an old one stays until its lease has run out
     * @param renewal     the holder's request
     * @param granted     the grant to be sent
     */
    void on_renewal(time_point now, const host_id& host, incarnation_id incarnation,
                    const lease_renewal& renewal, const lease_grant& granted);

    /** Removes a holder that released its lease during a graceful shutdown. */
    void on_release(const host_id& host, incarnation_id incarnation);

    /** @return whether every host that may be serving applies this ticket or a later one */
    rollout_status ticket_state(time_point now, ticket_number number) const;

    /** @return whether every host that may be serving applies this assignment epoch or a later one */
    rollout_status epoch_state(time_point now, std::uint64_t epoch) const;

    /**
     * @return whether this incarnation of a host may hold a lease; true for any while predecessors' leases
     *         may run
     */
    bool may_hold(time_point now, const host_id& host, incarnation_id incarnation) const;

    /** @return the holders with a running lease, ordered by host */
    std::vector<lease_record> holders(time_point now) const;

    /** Removes holders whose lease has run out. */
    void remove_expired(time_point now);

private:
    /** When the last grant that named each number ends. */
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
