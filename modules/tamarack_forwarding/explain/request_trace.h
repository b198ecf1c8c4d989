#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** A decision about one request. */
enum class trace_step {
    routed,    ///< a route of the ticket in force takes it
    waits,     ///< no connection to a target of the service is free
    sent,      ///< first exchange for a shard or for the request
    hedged,    ///< a second exchange while the first is running
    retried,   ///< a further exchange after a failure
    reply,     ///< a target's reply came
    lost,      ///< the connection of an exchange was lost
    abandoned, ///< an exchange is no longer needed; its reply is awaited for a short time
    given_up,  ///< a shard stays out
    no_budget, ///< a further exchange is not allowed by the budget for extra load
    deferred,  ///< a further exchange waits until it is known whether the request crashes its targets
};

template <>
struct name_table<trace_step> {
    static constexpr std::array<std::pair<trace_step, std::string_view>, 11> entries{{
        {trace_step::routed, "routed"},
        {trace_step::waits, "waits"},
        {trace_step::sent, "sent"},
        {trace_step::hedged, "hedged"},
        {trace_step::retried, "retried"},
        {trace_step::reply, "reply"},
        {trace_step::lost, "lost"},
        {trace_step::abandoned, "unwanted"},
        {trace_step::given_up, "given_up"},
        {trace_step::no_budget, "no_budget"},
        {trace_step::deferred, "deferred"},
    }};
};

/** One step of a request, with what decided it. */
struct trace_entry {
    duration after{}; ///< since the request arrived
    trace_step step = trace_step::routed;
    service_id service;
    target_id target;
    std::string result;           ///< verdict of a reply, or why
    std::uint32_t load = 0;       ///< exchanges believed to be at the target
    duration load_age{};          ///< of the target's last report; negative when there is none
    std::uint32_t candidates = 0; ///< targets that could have been chosen
};

/** Everything that was decided about one request, in order. */
struct request_trace {
    ticket_number ticket; ///< under which it was routed
    std::string route;
    duration objective_left{}; ///< on arrival; negative when it came too late for it
    duration taken{};          ///< from arrival to the answer
    std::size_t shards = 0;
    std::size_t covered = 0;
    std::size_t hedges = 0;
    std::size_t retries = 0;
    bool late = false; ///< answered after its objective
    std::vector<trace_entry> entries;
};

} // namespace tamarack
