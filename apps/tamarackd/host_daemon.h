#pragma once

#include "control/control_worker.h"
#include "forwarding/forwarding_worker.h"
#include "hosts/hosts_worker.h"
#include "operators/control_edge.h"
#include "operators/operators_edge.h"
#include "serving/serving_worker.h"

#include <functional>
#include <memory>

namespace tamarack {

/** Addresses that a running daemon listens on. */
struct daemon_addresses {
    endpoint callers;
    endpoint operators;
    endpoint hosts;
};

/**
 * Creates the workers of one host, connects them with each other, starts and stops them.
 */
class host_daemon {
public:
    /**
     * @param host_settings  checked settings
     * @param ask_to_drain   called from another thread when an operator requests a graceful shutdown
     * @param edge           codecs of the platform edge; used only if the settings select it
     */
    host_daemon(settings host_settings, std::function<void()> ask_to_drain, edge_protocol edge);
    ~host_daemon();
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;
    host_daemon(host_daemon&&) = delete;
    host_daemon& operator=(host_daemon&&) = delete;

    /** Opens the data folder, starts listening and starts all workers. @return the bound addresses */
    outcome<daemon_addresses> start();

    /** Applies the settings that can change at run time; the others take effect at the next start. */
    void apply(const settings& changed);

    /** Leaves the directory. Cached directory answers may still list this host. */
    void leave_directory();

    /**
     * Accepts no further connections, closes idle ones, and waits until all running requests are answered.
     *
     * @param limit  for this wait, and for the requests that still run until stop()
     * @return false if the limit passed first
     */
    bool finish_requests(duration limit);

    /** Releases the lease, transfers leadership and stops all workers. */
    void stop();

private:
    outcome<done> open_control();
    /** Closes callers' connections after the answers to requests that have been read. @return false if
     * m_requests_end_at passed first */
    bool close_callers();
    /**
     * Posts a step to the worker that serves callers, and waits until it is done.
     *
     * @param post  passes the function to call when it is done; returns false if the worker's queue is full
     * @return false if m_requests_end_at passed first, or the step was not posted
     */
    bool wait_for_callers(const std::function<bool(std::function<void()>)>& post);
    serving_hooks make_serving_hooks();
    hosts_hooks make_hosts_hooks();
    control_hooks make_control_hooks();

    settings m_settings;
    std::function<void()> m_ask_to_drain;
    metric_registry m_metrics;
    incarnation_id m_incarnation;
    outcome<endpoint> start_callers();
    edge_protocol m_edge;
    std::unique_ptr<serving_worker> m_serving;
    std::unique_ptr<forwarding_worker> m_forwarding;
    std::unique_ptr<control_edge> m_control_edge;
    std::unique_ptr<target_store> m_target_store; ///< only on a control host with the platform edge
    std::unique_ptr<hosts_worker> m_hosts;
    std::unique_ptr<control_worker> m_control;
    std::unique_ptr<operators_edge> m_operators;
    bool m_started = false;
    time_point m_requests_end_at{}; ///< requests that are running then are cut off
};

} // namespace tamarack
