#pragma once

#include "../crashes/crash_loss.h"
#include "../crashes/crash_step.h"
#include "../payload/forward_answer.h"
#include "../payload/target_exchange.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** Open a connection to a target; report on_connected or on_connection_lost. */
struct open_target_connection {
    target_connection connection = 0;
    target_id target;
    endpoint address;
    duration limit{}; ///< for the opening
};

/** Close a connection; nothing further is reported of it. */
struct close_target_connection {
    target_connection connection = 0;
};

/** Send an exchange on an idle open connection. */
struct send_target_exchange {
    target_connection connection = 0;
    target_exchange exchange;
};

/** Answer a caller; the last action about this request. */
struct deliver_answer {
    forward_answer answer;
};

/** What changed in the engine's view of a target. */
enum class target_change {
    added,
    removed,  ///< draining, gone, or no longer named by the configuration
    replaced, ///< another target answered at its address
    ejected,  ///< failed several times in a row: used only when there is no other
    readmitted,
    leaving,         ///< said in an answer that it takes no new work
    in_backoff,      ///< asked this host for a rest
    backoff_invalid, ///< asked for a rest of a length that makes no sense; ignored
};

template <>
struct name_table<target_change> {
    static constexpr std::array<std::pair<target_change, std::string_view>, 8> entries{{
        {target_change::added, "added"},
        {target_change::removed, "removed"},
        {target_change::replaced, "replaced"},
        {target_change::ejected, "ejected"},
        {target_change::readmitted, "readmitted"},
        {target_change::leaving, "leaving"},
        {target_change::in_backoff, "resting"},
        {target_change::backoff_invalid, "rest_unreadable"},
    }};
};

/** The engine believes something else of a target than before; for the log. */
struct target_changed {
    target_change change = target_change::added;
    target_id target;
    service_id service;
    std::uint32_t failures = 0; ///< in a row
    duration until{};           ///< how long it is ejected, or rests
};

/** A target was lost to a content: tell the other hosts. */
struct broadcast_crash_loss {
    crash_loss loss;
};

/** There is evidence that requests of this content crash the targets that run them; for the log. */
struct crashing_content_found {
    digest content;
    target_id target; ///< lost last
};

/** A step in the evidence against a content; for the log. */
struct crash_evidence_report {
    crash_step step = crash_step::lost;
    digest content;
    request_id request;      ///< empty when the step is of no single request
    target_id target;        ///< empty when the step is of no single target
    std::size_t targets = 0; ///< lost to the content and out of reach right after, as this host knows
};

/** A target said in an answer that it takes no new work in this incarnation: tell the other hosts. */
struct target_leaving {
    target_id target;
    incarnation_id incarnation;
};

/** What this host knows of a service's extra load; told now and then while there is any, for the log. */
struct extra_load_report {
    service_id service;
    std::uint32_t requests = 0;        ///< in the window
    std::uint32_t extra_exchanges = 0; ///< hedges and retries charged in the window
    std::uint32_t refused = 0;         ///< repeats that were not allowed since the last time
    double allowance_part = 0.0;       ///< fraction of the allowance that this host may spend
    duration record_age{};             ///< since the record of this service began, empty
};

/** What the shell has to do after an event, in order. */
using forwarding_action = std::variant<open_target_connection, close_target_connection, send_target_exchange,
                                       deliver_answer, target_changed, target_leaving, broadcast_crash_loss,
                                       crashing_content_found, crash_evidence_report, extra_load_report>;
using forwarding_actions = std::vector<forwarding_action>;

} // namespace tamarack
