#pragma once

#include "../messages/control_message.h"
#include "control_options.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/** Address and reported state of a lease holder. */
struct holder_contact {
    endpoint address;
    data_center_id data_center;
    bool serves_callers = true;
    bool draining = false;
    incarnation_id incarnation;
};

/**
 * Manages leases at the leader during one term: batches renewals into one confirmed read, records the grants,
 * and keeps the address of each holder. Internal to the module.
 */
class lease_manager {
public:
    lease_manager(const control_options& options, time_point now);

    /**
     * Queues a renewal. It is granted once a read that starts after this call is confirmed. It replaces an
     * earlier one of the host that still waits: a grant of the later one is worth more.
     */
    void on_renewal(time_point now, renew_lease renewal);

    void on_release(const release_lease& released);

    /** @return whether renewals are waiting and a read that covers them should start now */
    bool read_is_due(time_point now) const;

    /** Marks all waiting renewals as covered by this read. */
    void on_read_started(std::uint64_t read);

    /** @return the renewals that this read covers, if it is the one in flight */
    std::vector<renew_lease> on_read_confirmed(std::uint64_t read);

    /** @return all renewals, waiting or covered by a read, which are removed; called when leadership ends */
    std::vector<renew_lease> remove_all();

    /** Records that a grant is about to be sent. */
    void on_granted(time_point now, const renew_lease& renewal, const lease_grant& grant);

    /** Removes holders whose lease has run out. */
    void remove_expired(time_point now);

    lease_table& table() { return m_lease_table; }
    const lease_table& table() const { return m_lease_table; }
    const std::map<host_id, holder_contact>& contacts() const { return m_contacts; }

    /** @return when a read becomes due; time_point::max() when none will */
    time_point next_timer() const;

private:
    duration m_batch_delay;
    lease_table m_lease_table;
    std::map<host_id, holder_contact> m_contacts;
    std::vector<renew_lease> m_waiting;
    std::vector<renew_lease> m_covered_by_read;
    std::optional<std::uint64_t> m_read_in_flight;
    time_point m_first_waiting_since;
};

} // namespace tamarack
