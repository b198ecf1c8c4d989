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

/** State shared by the parts of the engine. Each part modifies only the state that it is responsible for. */
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
    std::vector<std::unique_ptr<query_run>> answered_runs; ///< destroyed at the end of the event
    std::vector<shard_state*> dirty_shards;
    std::vector<service_state*> freed_services; ///< services where a queued request may start
    recent_set completed;                       ///< hashes of contents that a target has completed
    crash_detector crashes;
    quarantine_list quarantined;
    std::vector<std::uint64_t> changed_contents; ///< contents whose waiting requests may continue
    exchange_number last_exchange = 0;
    std::size_t unanswered = 0;
    query_statistics counted; ///< without the counts that services keep

    engine_core(host_id host, incarnation_id process, query_options wanted, random_source source);

    /** @return the request, or nullptr if it has been answered and removed */
    query_run* find_run(request_number number);
    /** @return a new, unused exchange number */
    exchange_number next_exchange();
    /** Schedules the shard's waiting exchanges to be checked before the end of the event. */
    void mark_dirty(shard_state& shard);
    /** Schedules the check for a replica's shard. */
    void mark_dirty(const replica& changed);
    /** Ends one exposure of the request's content to a target. */
    void end_exposure(query_run& run);
    /** Lets requests that wait for these contents continue. */
    void mark_changed(const std::vector<std::uint64_t>& contents);
    /** Quarantines contents and broadcasts this to all hosts. */
    void quarantine(const std::vector<request_content>& contents);
    /** Ensures that a timer checks the request at this time at the latest. */
    void wake(query_run& run, time_point at);
};

} // namespace tamarack
