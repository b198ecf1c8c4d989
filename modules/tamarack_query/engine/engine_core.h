#pragma once

#include "../connections/connection_pool.h"
#include "../quarantine/crash_detector.h"
#include "../quarantine/quarantine_list.h"
#include "../quarantine/recent_set.h"
#include "../run/query_run.h"
#include "../targets/service_table.h"
#include "../timers/timer_queue.h"
#include "query_options.h"
#include "query_statistics.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** State that the engine's parts share; each part changes only what its own job is about. */
struct engine_core {
    host_id self;
    incarnation_id incarnation;
    query_options options;
    query_policies policies;
    random_source random;

    time_point now{};
    query_actions out;
    ticket_number ticket;
    time_point lease_ends{};
    bool draining = false;

    service_table table;
    connection_pool pool;
    timer_queue timers;
    std::unordered_map<request_number, std::unique_ptr<query_run>> runs;
    std::vector<std::unique_ptr<query_run>> answered_runs; ///< kept until the end of the event
    std::vector<shard_state*> dirty_shards;
    std::vector<service_state*> freed_services; ///< a queued request may start
    recent_set completed;                       ///< contents of requests that a target has completed
    crash_detector crashes;
    quarantine_list quarantined;
    std::vector<std::uint64_t> changed_contents; ///< requests that wait for them may continue
    exchange_number last_exchange = 0;
    std::size_t unanswered = 0;
    query_statistics counted; ///< without what services count

    engine_core(host_id host, incarnation_id process, query_options wanted, random_source source);

    /** @return the request, or nullptr when it was answered */
    query_run* find_run(request_number number);
    /** @return a number that no exchange has had */
    exchange_number next_exchange();
    /** Has the shard's waiting exchanges looked at before the event ends. */
    void mark_dirty(shard_state& shard);
    /** The same, for the shard of a replica. */
    void mark_dirty(const replica& changed);
    /** Ends the exposure of a request's content to one target. */
    void end_exposure(query_run& run);
    /** Has requests that wait for these contents continue. */
    void mark_changed(const std::vector<std::uint64_t>& contents);
    /** Quarantines contents, and has all hosts told. */
    void quarantine(const std::vector<request_content>& contents);
    /** Looks at the request again at this time, or earlier. */
    void wake(query_run& run, time_point at);
};

} // namespace tamarack
