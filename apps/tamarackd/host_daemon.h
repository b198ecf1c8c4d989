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

/** Addresses that a started daemon listens on. */
struct daemon_addresses {
    endpoint callers;
    endpoint operators;
    endpoint hosts;
};

/**
 * One host: its duties and how they are joined. Decides nothing itself.
 */
class host_daemon {
public:
    /**
     * @param chosen        checked settings
     * @param ask_to_drain  called when an operator wants a graceful shutdown; from another thread
     * @param edge          codecs of a foreign edge; used when the settings choose one
     */
    host_daemon(settings chosen, std::function<void()> ask_to_drain, edge_protocol edge);
    ~host_daemon();
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;
    host_daemon(host_daemon&&) = delete;
    host_daemon& operator=(host_daemon&&) = delete;

    /** Opens the data folder, listens and starts all duties. @return the addresses in use */
    outcome<daemon_addresses> start();

    /** Applies what may change while the host runs; the rest takes effect with the next start. */
    void apply(const settings& changed);

    /** Leaves the directory; kept answers of it may still name this host. */
    void leave_directory();

    /** Takes no further request and waits until each has its answer. @return false when the limit passed
     * first */
    bool finish_requests(duration limit);

    /** Gives the lease back, hands leadership over and stops all duties. */
    void stop();

private:
    outcome<done> open_control();
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
    std::unique_ptr<target_store> m_target_store; ///< only on a control host with a foreign edge
    std::unique_ptr<hosts_worker> m_hosts;
    std::unique_ptr<control_worker> m_control;
    std::unique_ptr<operators_edge> m_operators;
    bool m_started = false;
};

} // namespace tamarack
