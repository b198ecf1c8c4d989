#pragma once

#include "../forwarding/forwarding_worker.h"
#include "evacuation_gate.h"
#include "warmup_ends.h"

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_settings/tamarack_settings.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace tamarack {

/**
 * Builds the inputs of the forwarding worker: routes, targets with this host's share of their connections,
 * and the hosts that the directory lists for callers.
 */
class forwarding_inputs_builder {
public:
    /**
     * @param host_settings  the host's settings; must outlive this object
     * @param started        start time of this process
     */
    forwarding_inputs_builder(const settings& host_settings, time_point started);

    /**
     * The records of hosts have changed.
     *
     * @param isolated  whether this host has lost contact with most other hosts
     * @return whether the inputs change
     */
    bool on_hosts(time_point now, const std::vector<host_record>& hosts, bool isolated);

    /** The evacuation orders may have changed. @see evacuation_gate::on_orders */
    void on_evacuations(const evacuation_orders& latest, bool known) {
        m_evacuations.on_orders(latest, known);
    }

    /** @return whether the inputs have changed merely because time has passed */
    bool on_time(time_point now);

    /** @param in_directory  whether the directory lists this host, so that it accepts callers */
    forwarding_inputs build(time_point now, const shared_configuration& current,
                            const target_registry& registry, bool in_directory);

    /**
     * @param confirmed  whether the control hosts have confirmed that the configuration is the latest
     * @return whether the directory may list this host
     */
    bool may_enter_directory(time_point now, const configuration& current, bool confirmed,
                             const target_registry& registry);

private:
    std::vector<forwarding_target> list_targets(time_point now, const target_registry& registry);

    const settings& m_settings;
    time_point m_started;
    bool m_discovery_ended = false; ///< discovery_time has passed since the start
    std::vector<host_record> m_entries;
    bool m_is_active = true; ///< false while this host is on standby
    sharing_hosts m_sharing_hosts;
    limit_sharing m_limit_sharing;
    allowance_share m_allowance;
    allowance_part m_sent_allowance;                           ///< as in the last inputs
    std::shared_ptr<const std::vector<host_id>> m_limit_hosts; ///< as in the last inputs
    std::shared_ptr<const route_table> m_routes;
    ticket_number m_routes_ticket;
    directory_admission m_directory_admission;
    evacuation_gate m_evacuations;
    bool m_sent_may_send; ///< as in the last inputs
    warmup_ends m_warmup_ends;
};

} // namespace tamarack
