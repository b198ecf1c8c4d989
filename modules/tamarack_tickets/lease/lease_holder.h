#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace tamarack {

/** Safety mechanisms of leases, which tests can disable. Always enabled in the daemon. */
struct lease_protections {
    bool runs_from_sending = true;          ///< a lease runs from the sending of its renewal
    bool refuse_older_configuration = true; ///< a grant of an older ticket or epoch has no effect
    bool expire = true;                     ///< a host doesn't serve after the end of its lease
};

/** Times of the leases under which hosts serve a configuration. */
struct lease_options {
    duration length = 3s;      ///< validity of a lease, before the allowance for clock drift
    duration renewal = 1s;     ///< interval between renewals
    double clock_drift = 0.01; ///< maximum error of a clock's rate, as a fraction
    lease_protections protections;
};

/** A host's request to a control host to renew its lease. */
struct lease_renewal {
    std::uint64_t number = 0;        ///< sequence number of the renewal, assigned by the holder
    ticket_number serving;           ///< ticket that the host serves under; the renewal acknowledges it
    std::uint64_t serving_epoch = 0; ///< assignment epoch that the host applies
};

/** The leader's answer to a renewal, given only after a majority confirmed its state. */
struct lease_grant {
    std::uint64_t number = 0;        ///< number of the renewal that it answers
    ticket_number latest;            ///< ticket that the host serves under from now on
    std::uint64_t epoch = 0;         ///< the latest assignment epoch
    std::uint64_t settled_epoch = 0; ///< every holder of a lease applies this epoch or a later one
};

/**
 * The holder's side of a lease: whether this host may serve, and when to renew.
 *
 * A restarted host holds no lease and must obtain one before it serves. A lease runs from the time at which
 * its renewal was sent, shortened by the maximum clock drift.
 */
class lease_holder {
public:
    /**
     * @param options       lease times, equal on all hosts
     * @param first_number  number of the first renewal; drawn at random in each incarnation of the host, so
     *                      that a grant to a former incarnation matches no renewal of this one
     */
    explicit lease_holder(lease_options options, std::uint64_t first_number = 1);

    /** @return the renewal to send, if one is due */
    std::optional<lease_renewal> on_timer(time_point now);

    /** Makes a renewal due immediately, for instance after a renewal has failed. */
    void renew_soon(time_point now);

    /**
     * Handles a grant. To be called once the host has applied the ticket and the epoch that the grant names.
     *
     * @return whether the grant was accepted. It is not if it matches no outstanding renewal, names an older
     *         ticket or epoch than the host serves under, or precedes the first ticket, without which nothing
     *         can be served
     */
    bool on_grant(time_point now, const lease_grant& grant);

    /** Ends the lease. Grants that are still in flight no longer extend it. */
    void end(time_point now);

    /** @return whether a recent renewal has this number, and neither it nor a later one was granted */
    bool expects(std::uint64_t number) const;

    /** @return whether the host may serve requests now */
    bool may_serve(time_point now) const;

    /** @return when the lease ends; a time in the past when none is held */
    time_point ends_at() const;

    /** @return when on_timer is due next */
    time_point next_timer() const;

    ticket_number serving() const { return m_serving; }
    std::uint64_t serving_epoch() const { return m_serving_epoch; }
    std::uint64_t settled_epoch() const { return m_settled_epoch; }

private:
    struct sent_renewal {
        std::uint64_t number = 0;
        time_point sent_at;
    };

    std::deque<sent_renewal>::const_iterator find_sent(std::uint64_t number) const;

    lease_options m_options;
    std::uint64_t m_next_number;
    std::deque<sent_renewal> m_sent; ///< unanswered renewals, oldest first
    time_point m_ends_at{};
    time_point m_next_renewal{};
    ticket_number m_serving;
    std::uint64_t m_serving_epoch = 0;
    std::uint64_t m_settled_epoch = 0;
};

} // namespace tamarack
