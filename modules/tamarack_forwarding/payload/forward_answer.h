#pragma once

#include "../explain/request_trace.h"
#include "target_exchange.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** How a forwarded request ended. */
enum class forward_outcome {
    replied,      ///< one target's reply, unchanged
    merged,       ///< the merged parts of several shards
    not_run,      ///< refused: no part of it has run or will run
    unknown,      ///< it may have run, but there is no answer
    invalid,      ///< no route matches it
    malformed,    ///< it can't be understood
    unauthorized, ///< its caller isn't known
};

template <>
struct name_table<forward_outcome> {
    static constexpr std::array<std::pair<forward_outcome, std::string_view>, 7> entries{{
        {forward_outcome::replied, "replied"},
        {forward_outcome::merged, "merged"},
        {forward_outcome::not_run, "not_run"},
        {forward_outcome::unknown, "unknown"},
        {forward_outcome::invalid, "invalid"},
        {forward_outcome::malformed, "malformed"},
        {forward_outcome::unauthorized, "unauthorized"},
    }};
};

/** Why a request received no target's reply, or a merged answer without all shards. */
enum class forward_reason {
    none,
    no_configuration, ///< this host knows no ticket yet
    no_route,
    no_target,  ///< too few services of the route have a usable target
    overloaded, ///< it could not have been served in time
    timed_out,
    targets_in_backoff, ///< too few services have a target that is not in backoff
    targets_limited,    ///< the limits that targets state leave no room for it in time
    targets_refused,    ///< every target that it was sent to refused to run it
    targets_failed,
    connection_lost,
    crashes_targets, ///< requests of its content have crashed three targets
    caller_gone,
    malformed_credentials, ///< the request states no readable key, or several
    unknown_key,           ///< no team holds the request's key, or it states none
    no_lease,              ///< this host can't confirm the caller's key, or which targets may be used
    team_limited,          ///< the team's limit leaves no room for it
};

template <>
struct name_table<forward_reason> {
    static constexpr std::array<std::pair<forward_reason, std::string_view>, 17> entries{{
        {forward_reason::none, "none"},
        {forward_reason::no_configuration, "no_configuration"},
        {forward_reason::no_route, "no_route"},
        {forward_reason::no_target, "no_target"},
        {forward_reason::overloaded, "overloaded"},
        {forward_reason::timed_out, "timed_out"},
        {forward_reason::targets_in_backoff, "targets_resting"},
        {forward_reason::targets_limited, "targets_limited"},
        {forward_reason::targets_refused, "targets_refused"},
        {forward_reason::targets_failed, "targets_failed"},
        {forward_reason::connection_lost, "connection_lost"},
        {forward_reason::crashes_targets, "crashes_targets"},
        {forward_reason::caller_gone, "caller_gone"},
        {forward_reason::malformed_credentials, "malformed_credentials"},
        {forward_reason::unknown_key, "unknown_key"},
        {forward_reason::no_lease, "no_lease"},
        {forward_reason::team_limited, "team_limited"},
    }};
};

/** The final answer to one request. */
struct forward_answer {
    forward_number number = 0;
    request_id id;
    forward_outcome outcome = forward_outcome::not_run;
    forward_reason reason = forward_reason::none;
    std::optional<target_reply> reply; ///< of `replied`
    std::vector<std::string> tokens;   ///< of `merged`: one for each shard included
    std::size_t missing = 0;           ///< of `merged`: number of shards not included
    std::string body;                  ///< of `merged`
    duration retry_after{};            ///< of `not_run`
    request_trace trace;
};

} // namespace tamarack
