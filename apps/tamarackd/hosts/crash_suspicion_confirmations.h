#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace tamarack {

/**
 * Waits until other hosts have confirmed a crash suspicion. The caller's answer is held back until then, so
 * that the caller can't crash further targets by resending the request to those hosts.
 *
 * Stops waiting for a host that does not confirm within the timeout.
 */
class crash_suspicion_confirmations {
public:
    /**
     * Starts waiting.
     *
     * @param hosts  the hosts that the suspicion was sent to
     * @param done   called once all hosts have confirmed, or after the timeout
     * @return the number that identifies the confirmations
     */
    std::uint64_t begin(time_point now, std::set<host_id> hosts, std::function<void()> done);

    /** A host has confirmed a suspicion. */
    void on_confirmation(std::uint64_t number, const host_id& host);

    /** Stops waiting for hosts that did not confirm in time. */
    void on_timer(time_point now);

    /** @return when on_timer must be called next; max if nothing is pending */
    time_point next_timer() const;

private:
    struct pending_confirmation {
        std::set<host_id> unconfirmed;
        std::function<void()> done;
        time_point ends_at;
    };

    std::map<std::uint64_t, pending_confirmation> m_pending;
    std::uint64_t m_next_number = 1;
};

} // namespace tamarack
