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

/** What the hosts duty tells the forwarding duty, as one consistent picture. */
struct forwarding_inputs {
    forwarding_view_pointer view;
    std::shared_ptr<const std::vector<host_record>> entries; ///< hosts that take callers
    bool in_directory = false;                               ///< whether this host is one of them
};

/** What the forwarding duty tells the other hosts; called on its thread. */
struct forwarding_hooks {
    std::function<void(const crash_loss&)> broadcast_crash_loss; ///< of a target lost to a content
    std::function<void(const target_id&, incarnation_id)>
        report_target_leaving; ///< of a target that takes no new work
};

/**
 * The duty that serves callers at a foreign edge: their requests, readiness and directory, on one thread.
 *
 * @see forwarding_engine, which decides; edge_protocol, which reads and writes
 */
class forwarding_worker {
public:
    /**
     * @param chosen   the host's settings; must outlive the duty
     * @param edge     codecs of the edge
     * @param metrics  must outlive the duty
     * @param hooks    the way to the other hosts
     */
    forwarding_worker(const settings& chosen, edge_protocol edge, metric_registry& metrics,
                      forwarding_hooks hooks);

    /** Begins to listen and starts the thread. @return the callers' address in use */
    outcome<endpoint> start();
    void stop();

    /** From any thread: a new picture. */
    bool post_inputs(forwarding_inputs inputs);
    /** From any thread: this host is in touch with the control hosts until then. */
    bool post_lease(time_point ends_at);
    /** From any thread: another host found that a target was lost to a content. */
    bool post_remote_crash_loss(crash_loss loss);
    /** From any thread: callers are to go elsewhere; each connection closes after its next answer. */
    bool post_leaving();
    /** From any thread. @return exchanges with targets that have begun since the start */
    std::uint64_t exchange_count() const { return m_exchanges; }
    /** From any thread: take no further connection; `drained` is called once no request is left. */
    bool post_drain(std::function<void()> drained);

private:
    std::function<void()> on_request(http_request message, const http_responder& respond);
    void on_readiness(const http_request& message, const http_responder& respond);
    void on_directory(const http_request& message, const http_responder& respond);
    void carry_out(forwarding_actions actions);
    void deliver(forward_answer answer);
    void log_target_change(const target_changed& changed);
    void log_crash_evidence(const crash_evidence_report& report);
    void log_extra_load(const extra_load_report& report);
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
    rate_limiter m_remote_crash_lines;
    random_source m_random;
    bool m_leaving = false;
    forward_number m_next_request = 1;
    std::atomic<std::uint64_t> m_exchanges{0};
    std::map<forward_number, http_responder> m_waiting;
    std::function<void()> m_drained;
    forwarding_hooks m_hooks;
};

} // namespace tamarack
