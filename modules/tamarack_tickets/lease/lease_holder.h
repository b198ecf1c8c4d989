#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace tamarack {

/** Protections of leases that tests switch off. Always on in the daemon. */
struct lease_protections {
    bool timed_from_sending = true;
    bool refuse_older_configuration = true;
    bool expire = true;
};

/** Times of the leases under which hosts serve a configuration. */
struct lease_options {
    duration length = 3s;
    duration renewal = 1s;
    double clock_drift = 0.01; ///< clocks run at most this share faster or slower than real time
    lease_protections protections;
};

/** A host's request to a control host to renew its lease. */
struct lease_renewal {
    std::uint64_t number = 0;        ///< of this renewal, by its holder
    ticket_number serving;           ///< the configuration that the host serves under: an acknowledgement
    std::uint64_t serving_epoch = 0; ///< the assignment epoch that it applies
};

/** A control host's answer, given only after a majority confirmed its state. */
struct lease_grant {
    std::uint64_t number = 0;        ///< of the renewal that it answers
    ticket_number latest;            ///< the host serves under it from now on
    std::uint64_t epoch = 0;         ///< the latest assignment epoch
    std::uint64_t settled_epoch = 0; ///< every holder of a lease applies this epoch or a later one
};

/**
 * The holder's side of a lease: whether this host may serve, and when to renew.
 *
 * A restarted host holds no lease, so it asks before it serves. The lease counts from the moment its renewal
 * was sent, shortened_by_drift by the drift of clocks.
 */
class lease_holder {
public:
    /**
     * @param options       times of the leases, equal on all hosts
     * @param first_number  of the renewals; drawn at random in each incarnation of the host, so that a grant
     * to a former incarnation is not taken for an answer
     */
    explicit lease_holder(lease_options options, std::uint64_t first_number = 1);

    /** @return a renewal to send when one is due */
    std::optional<lease_renewal> on_timer(time_point now);

    /** Makes a renewal due at once, for instance after a failed one. */
    void renew_soon(time_point now);

    /**
     * A grant arrived together with the configuration that it names, which the host has applied.
     *
     * @return whether the lease was extended; the grant of an unknown renewal extends nothing, nor does one
     *         given before the first ticket, under which nothing could be served
     */
    bool on_grant(time_point now, const lease_grant& grant);

    /** Gives the lease up: grants that are still on their way extend nothing. */
    void end(time_point now);

    /** @return whether a renewal of this number was sent, recently, and has not been granted */
    bool expects(std::uint64_t number) const;

    /** @return whether the host may serve requests now */
    bool may_serve(time_point now) const;

    /** @return when the lease ends; a past moment when none is held */
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
    std::deque<sent_renewal> m_sent; ///< unanswered ones, the latest last
    time_point m_ends_at{};
    time_point m_next_renewal{};
    ticket_number m_serving;
    std::uint64_t m_serving_epoch = 0;
    std::uint64_t m_settled_epoch = 0;
};

} // namespace tamarack
