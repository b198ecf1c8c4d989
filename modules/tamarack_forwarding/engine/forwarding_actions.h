#pragma once

#include "../crashes/crash_loss.h"
#include "../crashes/crash_step.h"
#include "../limits/request_limit.h"
#include "../locality/locality_controller.h"
#include "../payload/forward_answer.h"
#include "../payload/target_exchange.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** Open a connection to a target, then report on_connected or on_connection_lost. */
struct open_target_connection {
    target_connection connection = 0;
    target_id target;
    endpoint address;
    duration limit{}; ///< connect timeout
};

/** Close a connection, and report no further events of it. */
struct close_target_connection {
    target_connection connection = 0;
};

/** Send an exchange on an idle open connection. */
struct send_target_exchange {
    target_connection connection = 0;
    target_exchange exchange;
    bool far = false; ///< the target is in another data centre
};

/** Answer a caller; the last action for this request. */
struct deliver_answer {
    forward_answer answer;
};

/** Change of a target's state in the engine. */
enum class target_change {
    added,
    removed,  ///< draining, gone, or no longer named by the configuration
    replaced, ///< another target answered at its address
    ejected,  ///< failed several times in a row: used only if there is no other
    readmitted,
    leaving,               ///< announced in a reply that it takes no new work
    in_backoff,            ///< requested a backoff from this host
    backoff_invalid,       ///< requested a backoff of implausible length, which is ignored
    evacuated,             ///< in a data centre that operators have ordered to evacuate
    request_limit_invalid, ///< stated a limit on requests that is not a valid number, which is ignored
};

template <>
struct name_table<target_change> {
    static constexpr std::array<std::pair<target_change, std::string_view>, 10> entries{{
        {target_change::added, "added"},
        {target_change::removed, "removed"},
        {target_change::replaced, "replaced"},
        {target_change::ejected, "ejected"},
        {target_change::readmitted, "readmitted"},
        {target_change::leaving, "leaving"},
        {target_change::in_backoff, "resting"},
        {target_change::backoff_invalid, "rest_unreadable"},
        {target_change::evacuated, "evacuated"},
        {target_change::request_limit_invalid, "request_limit_invalid"},
    }};
};

/** The state of a target changed; for the log. */
struct target_changed {
    target_change change = target_change::added;
    target_id target;
    service_id service;
    std::uint32_t failures = 0; ///< in a row
    duration until{};           ///< remaining time of its ejection or backoff
};

/** Report to all other hosts that a target was lost to a content. */
struct broadcast_crash_loss {
    crash_loss loss;
};

/** There is evidence that requests of this content crash the targets that run them; for the log. */
struct crashing_content_found {
    digest content;
    target_id target; ///< the target lost last
};

/** A step in the evidence against a content; for the log. */
struct crash_evidence_report {
    crash_step step = crash_step::lost;
    digest content;
    request_id request;      ///< empty if the step concerns no single request
    target_id target;        ///< empty if the step concerns no single target
    std::size_t targets = 0; ///< confirmed losses to the content, as far as this host knows
};

/** Report to the other hosts that a target announced in a reply that its incarnation takes no new work. */
struct target_leaving {
    target_id target;
    incarnation_id incarnation;
};

/** This host's extra load for a service; issued from time to time while there is any, for the log. */
struct extra_load_report {
    service_id service;
    std::uint32_t requests = 0;        ///< in the window
    std::uint32_t extra_exchanges = 0; ///< hedges and retries charged in the window
    std::uint32_t refused = 0;         ///< extra exchanges that the budget refused since the last report
    double allowance_part = 0.0;       ///< fraction of the allowance that this host may spend
    duration counting_for{};           ///< time since this host began to count for this service
};

/** Report to all other hosts what a target states about its request limit. */
struct broadcast_request_limit {
    target_incarnation target;
    limit_statement statement;
};

/** What this host knows about a target's request limit, and how it uses the target; for the log. */
struct request_limit_report {
    limit_step step = limit_step::stated;
    target_id target;
    service_id service;
    double limit = 0.0; ///< requests a second from all hosts together
    double share = 0.0; ///< fraction of it that this host may use
    duration age{};     ///< of the latest statement
    limit_use use;      ///< since the previous report
    duration period{};  ///< since the previous report
};

/** A request was refused because its team was above its share while capacity was short; for the log. */
struct team_gave_way {
    service_id service;
    std::string team;         ///< empty for callers without a key
    duration expected_wait{}; ///< of a request that is admitted now
    double fraction = 0.0;    ///< of the recent requests' work that the team sent to this host
};

/** The fraction of a service's first exchanges that leaves the data centre changed; for the log. */
struct locality_changed {
    service_id service;
    locality_step step = locality_step::raised;
    double fraction = 0.0;
    double near_late = 0.0; ///< share of late exchanges with near targets
    double far_late = 0.0;
    double near_load = 0.0; ///< reported load per slot; 0 if there are no reports
    double far_load = 0.0;
};

/** Report to the server of team limits, which answers with a team_grant. */
struct report_team_use {
    team_use report;
};

/** What the caller of the engine has to do after an event, in order. */
using forwarding_action =
    std::variant<open_target_connection, close_target_connection, send_target_exchange, deliver_answer,
                 target_changed, target_leaving, broadcast_crash_loss, crashing_content_found,
                 crash_evidence_report, extra_load_report, request_limit_report, broadcast_request_limit,
                 team_gave_way, locality_changed, report_team_use>;
using forwarding_actions = std::vector<forwarding_action>;

} // namespace tamarack
