#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** Kind of a decision or event in the processing of a request. */
enum class trace_step {
    routed,    ///< a route of the ticket in force matches it
    waits,     ///< waits because no connection to a target of the service is free
    sent,      ///< first exchange for a shard or for the request
    hedged,    ///< a second exchange while the first is running
    retried,   ///< another exchange after a failure
    reply,     ///< a target replied
    lost,      ///< the connection of an exchange was lost
    abandoned, ///< an exchange is no longer needed; its reply is awaited for a short time
    given_up,  ///< the answer will not include a shard
    no_budget, ///< the budget for extra load does not allow an extra exchange
    deferred,  ///< an extra exchange waits until it is known whether the request crashes its targets
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

/** One step of a request, with the data on which the decision was based. */
struct trace_entry {
    duration after{}; ///< since the request arrived
    trace_step step = trace_step::routed;
    service_id service;
    target_id target;
    std::uint64_t connection = 0; ///< to the target; 0 if the step concerns none
    std::string result;           ///< verdict of a reply, or the cause of the step
    std::uint32_t load = 0;       ///< estimated number of exchanges at the target
    duration load_age{};          ///< age of the target's last load report; negative if there is none
    std::uint32_t candidates = 0; ///< number of targets to choose from
};

/** All steps of one request, in order. */
struct request_trace {
    ticket_number ticket; ///< ticket under which the request was routed
    std::string route;
    duration objective_left{}; ///< on arrival; negative if the request arrived after its objective
    duration taken{};          ///< from arrival to the answer
    std::size_t shards = 0;
    std::size_t covered = 0;
    std::size_t hedges = 0;
    std::size_t retries = 0;
    bool late = false; ///< answered after its objective
    std::vector<trace_entry> entries;
};

} // namespace tamarack
