#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace tamarack {

/**
 * Waits until other hosts know of a quarantined request, so that its caller, once answered, can't lose
 * further targets by sending it to them.
 *
 * A host that does not confirm in time is not waited for.
 */
class crash_suspicion_confirmations {
public:
    /**
     * Begins to wait.
     *
     * @param hosts  the hosts that were told
     * @param done   called once all have confirmed, or when the limit has passed
     * @return the number that the confirmations carry
     */
    std::uint64_t begin(time_point now, std::set<host_id> hosts, std::function<void()> done);

    /** A host confirmed. */
    void on_confirmation(std::uint64_t number, const host_id& host);

    /** Gives up on hosts that did not confirm in time. */
    void on_timer(time_point now);

    /** @return when on_timer is due next */
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
