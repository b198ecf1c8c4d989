#pragma once

#include "../budget/extra_budget.h"
#include "../fairness/return_pacing.h"
#include "../fairness/team_shares.h"
#include "../fairness/waiting_list.h"
#include "../limits/request_limit.h"
#include "../locality/locality_controller.h"
#include "../payload/target_exchange.h"
#include "../placement/connection_backoff.h"
#include "../view/forwarding_view.h"
#include "../withheld/target_backoff.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

struct engine_service;

/** State of one target in the engine: connections, load and health. */
struct engine_target {
    forwarding_target info;
    bool usable = true; ///< false once it has left the view or been replaced at its address
    bool far = false;
    engine_service* service = nullptr; ///< valid while the target is usable
    std::vector<target_connection> idle;
    std::size_t opening = 0;
    std::size_t busy = 0;        ///< connections that carry an exchange, abandoned ones included
    connection_backoff openings; ///< after failed attempts and refused connections
    std::optional<target_load> load;
    time_point load_at{};
    std::uint32_t sent_since_load = 0;
    double speed = 1.0;
    double error_share = 0.0;
    time_point error_at{};
    std::uint32_t failures_in_row = 0;
    time_point ejected_until{};
    target_backoff backoff;
    request_limit limit;
    time_point stated_warm_at{}; ///< end of its warm-up, as stated in a reply
    limit_use use_under_limit;   ///< since the last report
    time_point limit_reported_at{};
    std::vector<time_point> running_since; ///< start times of this host's exchanges, oldest first

    /** @return the end of its warm-up */
    time_point warm_at() const { return std::max(info.warm_at, stated_warm_at); }
    std::size_t connections() const { return idle.size() + opening + busy; }
    /** @return whether exchanges may be sent to it, now, or once a connection is free or its limit allows it
     */
    bool is_available(time_point now) const {
        return usable && !backoff.is_in_backoff(now) && (limit.has_share() || limit.allows(now));
    }
    /** @return when exchanges may be sent to it: now or later */
    time_point allowed_at(time_point now) const { return std::max(backoff.ends_at(), limit.allowed_at(now)); }
};

using engine_target_pointer = std::shared_ptr<engine_target>;

/** State of one service in the engine: its targets and the parts that wait for them. */
struct engine_service {
    service_id id;
    std::vector<engine_target_pointer> targets;
    waiting_list waiting;
    team_shares shares;                        ///< of the requests whose first part is for this service
    return_pacing returns;                     ///< of the callers of those requests
    std::shared_ptr<extra_budget> budget;      ///< kept when the service leaves the routes, as it may return
    double warmup_rate = 0.0;                  ///< requests a second that a cold target takes; 0: no limit
    std::uint32_t refused_extra_exchanges = 0; ///< by the budget, since the last report
    std::optional<locality_controller> locality; ///< if the fraction that leaves the data centre adapts

    engine_service(service_id name, std::shared_ptr<extra_budget> own_budget)
        : id(std::move(name)), budget(std::move(own_budget)) {}
};

using engine_service_pointer = std::shared_ptr<engine_service>;

} // namespace tamarack
