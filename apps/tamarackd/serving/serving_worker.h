#pragma once

#include "target_cancellations.h"
#include "target_connections.h"

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_query/tamarack_query.h>
#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace tamarack {

/** Calls from the serving worker to the hosts worker; each posts work to that worker's thread. */
struct serving_hooks {
    std::function<bool(announcement, std::function<void(outcome<announcement_receipt>)>)> announce;
    std::function<bool(commit_claim)> commit;
    std::function<bool(record_claim_result)> record;
    std::function<bool(broadcast_crash_suspicion, std::function<void()> on_confirmed)> broadcast_suspicion;
    std::function<bool(broadcast_quarantine)> quarantine;
};

/** Inputs of the serving worker from the hosts worker. They are replaced together, so that they are
 * consistent. */
struct serving_inputs {
    serving_view_pointer view;
    std::shared_ptr<const directory_view> directory;
    std::shared_ptr<const std::set<target_id>>
        cancellable; ///< targets that allow a connection for cancellations
};

/**
 * Serves callers on one worker thread: the callers' edge, the query engine and the connections to targets.
 */
class serving_worker {
public:
    /**
     * @param host_settings  the host's settings; must outlive the worker
     * @param incarnation    this process's incarnation
     * @param metrics        must outlive the worker
     * @param hooks          calls to the hosts worker
     */
    serving_worker(const settings& host_settings, incarnation_id incarnation, metric_registry& metrics,
                   serving_hooks hooks);

    /** Starts to listen, and starts the thread. @return the bound address for callers */
    outcome<endpoint> start();
    void stop();

    /** From any thread: passes new inputs, a new end of the lease, the outcome of a claim, a suspicion or a
     * quarantine. */
    bool post_inputs(serving_inputs inputs);
    bool post_lease(time_point ends_at);
    bool post_claim_answer(request_number request, claim_answer answer);
    bool post_claim_failed(request_number request);
    bool post_crash_suspicion(broadcast_crash_suspicion suspicion);
    bool post_quarantine(digest request);

    /** From any thread: accepts no further requests; calls `drained` once all are answered and the server no
     * longer accepts connections. */
    bool post_drain(std::function<void()> drained);
    /** From any thread: closes each connection, at once or after the answer to the request that it carries;
     * calls `closed` once all are closed. */
    bool post_close(std::function<void()> closed);

private:
    std::function<void()> on_http(const http_request& message, http_responder respond);
    std::function<void()> on_query(const service_id& service, const http_request& message,
                                   http_responder respond);
    void on_entries(const request_target& target, const http_responder& respond);
    void on_announce(const http_request& message, const http_responder& respond);

    /** Executes the engine's actions and rearms its timer. */
    void carry_out(query_actions actions);
    void carry_out(const broadcast_crash_suspicion& action);
    void carry_out(const answer_caller& action);
    void deliver(const query_answer& answer);
    void on_suspicion_confirmed(request_number request);
    void release_held_answer(request_number request);
    void check_drained();
    duration default_deadline(const service_id& service) const;
    std::vector<endpoint> other_addresses() const;

    const settings& m_settings;
    metric_registry& m_metrics;
    serving_hooks m_hooks;
    query_options m_options;
    worker_thread m_thread;
    query_engine m_engine;
    target_connections m_connections;
    target_cancellations m_cancellations;
    timer_loop m_timer;
    http_server m_server;
    serving_inputs m_inputs;
    request_number m_next_request = 1;
    struct waiting_caller {
        http_responder respond;
        service_id service;
        time_point arrived;
        time_point deadline;
    };
    std::map<request_number, waiting_caller> m_waiting;
    std::function<void()> m_drained;
    std::map<request_number, std::size_t>
        m_unconfirmed_suspicions;                          ///< suspicions not yet confirmed by other hosts
    std::map<request_number, query_answer> m_held_answers; ///< held back until the suspicions are confirmed
};

} // namespace tamarack
