#pragma once

#include <tamarack_control/tamarack_control.h>

#include <vector>

namespace tamarack {

/**
 * Holds the evacuation orders that a host applies, and decides whether it may send requests to targets.
 *
 * Failure pattern: all hosts lose power while a data centre is evacuated. A started host knows targets and a
 * ticket before it knows the orders, and would send to evacuated targets. It therefore sends nothing until
 * the leader's first grant, which brings the orders. A host that gets no grant is out of contact, to which
 * orders don't apply; it serves after a maximum wait, as its callers may reach no other host.
 */
class evacuation_gate {
public:
    /**
     * @param orders_possible  whether the deployment's settings name its data centres
     * @param started          start time of this process
     */
    evacuation_gate(bool orders_possible, time_point started);

    /**
     * The control client has received orders.
     *
     * @param latest  the latest orders
     * @param known   whether the leader has confirmed them since the start of this process
     */
    void on_orders(const evacuation_orders& latest, bool known);

    /** @return whether requests may be sent to targets that are not evacuated */
    bool may_send(time_point now) const;

    /** @return the data centres to whose targets nothing new is sent */
    const std::vector<data_center_id>& evacuated() const { return m_evacuated; }

    /** Time after which a host without a grant serves: several elections and renewals. */
    static constexpr duration max_wait = 10s;

private:
    time_point m_open_at; ///< when requests may be sent without a grant
    bool m_known = false;
    std::uint64_t m_epoch = 0;
    std::vector<data_center_id> m_evacuated;
};

} // namespace tamarack
