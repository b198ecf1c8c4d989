#pragma once

#include "exchange_connections.h"
#include "request_log.h"

#include <tamarack_edge/tamarack_edge.h>
#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tamarack {

/** Inputs of the forwarding worker from the hosts worker. They are replaced together, so that they are
 * consistent. */
struct forwarding_inputs {
    forwarding_view_pointer view;
    std::shared_ptr<const std::vector<host_record>> entries; ///< hosts that the directory lists
    bool in_directory = false;                               ///< whether the directory lists this host
};

/** Reports from the forwarding worker to the other hosts; called on its thread. */
struct forwarding_hooks {
    std::function<void(const crash_loss&)> broadcast_crash_loss; ///< a target was lost while it ran a request
    std::function<void(const target_id&, incarnation_id)>
        report_target_leaving; ///< a target accepts no new work
    std::function<void(const broadcast_request_limit&)>
        report_request_limit;                      ///< a target states a request limit, or no longer
    std::function<void(team_use)> report_team_use; ///< for the server of team limits
};

/**
 * Serves callers at the platform edge on one worker thread: requests, readiness and directory.
 *
 * @see forwarding_engine, which makes the decisions; edge_protocol, which holds the codecs
 */
class forwarding_worker {
public:
    /**
     * @param host_settings  the host's settings; must outlive the worker
     * @param edge           codecs of the edge
     * @param metrics        must outlive the worker
     * @param hooks          reports to the other hosts
     */
    forwarding_worker(const settings& host_settings, edge_protocol edge, metric_registry& metrics,
                      forwarding_hooks hooks);

    /** Starts to listen, and starts the thread. @return the bound address for callers */
    outcome<endpoint> start();
    void stop();

    /** From any thread: replaces the inputs. */
    bool post_inputs(forwarding_inputs inputs);
    /** From any thread: the lease from the control hosts now lasts until `ends_at`, on a clock that includes
     * the time for which the machine was suspended. */
    bool post_lease(time_point ends_at);
    /** From any thread: another host has reported that a target was lost while it ran a request. */
    bool post_remote_crash_loss(crash_loss loss);
    /** From any thread: another host has reported what a target states about its request limit. */
    bool post_remote_request_limit(target_incarnation target, limit_statement statement);
    /** From any thread: the server of team limits has answered. */
    bool post_team_grant(team_grant grant);
    /** From any thread: makes callers use other hosts. Each connection is closed after its next answer. */
    bool post_leaving();
    /** From any thread. @return the number of exchanges with targets sent since the start */
    std::uint64_t exchange_count() const { return m_exchanges; }
    /** From any thread: accepts no further connections; calls `drained` once all requests are answered. */
    bool post_drain(std::function<void()> drained);
    /** From any thread: closes each caller's connection, at once or after the answer to the request that it
     * carries; calls `closed` once all are closed. */
    bool post_close(std::function<void()> closed);

private:
    /** Passes suspensions of the machine to the engine. @return the time of an event that begins now */
    time_point event_time();
    std::function<void()> on_request(http_request message, const http_responder& respond);
    void on_readiness(const http_request& message, const http_responder& respond);
    void on_directory(const http_request& message, const http_responder& respond);
    void carry_out(forwarding_actions actions);
    void deliver(forward_answer answer);
    void log_locality(const locality_changed& changed);
    void log_target_change(const target_changed& changed);
    void log_crash_evidence(const crash_evidence_report& report);
    void log_extra_load(const extra_load_report& report);
    void log_request_limit(const request_limit_report& report);
    void log_team_gave_way(const team_gave_way& refused);
    void log_anomaly(const exchange_anomaly& anomaly);
    void check_drained();
    void apply_limits();

    const settings& m_settings;
    edge_protocol m_edge;
    metric_registry& m_metrics;
    worker_thread m_thread;
    forwarding_engine m_engine;
    exchange_connections m_connections;
    timer_loop m_timer;
    http_server m_callers;
    http_server m_readiness;
    http_server m_directory;
    forwarding_inputs m_inputs;
    request_log m_log;
    rate_limiter m_crash_lines;
    rate_limiter m_gave_way_lines{1.0, 1.0}; ///< a line a second
    rate_limiter m_remote_crash_lines;
    rate_limiter m_locality_lines;
    random_source m_random;
    bool m_leaving = false;
    forward_number m_next_request = 1;
    std::atomic<std::uint64_t> m_exchanges{0};
    std::map<forward_number, http_responder> m_waiting;
    std::function<void()> m_drained;
    forwarding_hooks m_hooks;
};

} // namespace tamarack
