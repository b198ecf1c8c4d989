#pragma once

#include "../control/control_worker.h"
#include "../hosts/hosts_worker.h"

#include <tamarack_edge/tamarack_edge.h>

namespace tamarack {

/** The workers that process calls; `control` is nullptr on a host without the control role. */
struct control_edge_hooks {
    hosts_worker* hosts = nullptr;
    control_worker* control = nullptr;
};

/**
 * Serves the calls of operators and targets at the platform edge, on a worker thread of its own.
 *
 * Only the leader of the control hosts accepts configurations; other hosts redirect to it.
 */
class control_edge {
public:
    /**
     * @param host_settings  the host's settings; must outlive the edge
     * @param edge           codecs of the edge
     * @param metrics        must outlive the edge
     * @param hooks          the workers that process calls
     */
    control_edge(const settings& host_settings, edge_protocol edge, metric_registry& metrics,
                 control_edge_hooks hooks);

    /** Starts to listen, and starts the thread. @return the bound address */
    outcome<endpoint> start();
    void stop();

private:
    using answerer = std::function<void(control_outcome)>;

    void on_http(const http_request& message, const http_responder& respond);
    void submit(ticket candidate, const answerer& answer);
    void read_latest(const answerer& answer);
    void order(const order_evacuation& ordered, const answerer& answer);
    void announce(announcement value, const answerer& answer);
    void deregister(const deregister_target& deregistered, const answerer& answer);
    /** Redirects to the leader, or answers `unavailable` if no leader is known. */
    void answer_with_redirect(const answerer& answer);
    control_outcome redirect_to(const host_id& leader) const;
    void answer_ticket(const outcome<ticket_answer>& result, const host_id& leader,
                       const answerer& answer) const;

    const settings& m_settings;
    edge_protocol m_edge;
    control_edge_hooks m_hooks;
    worker_thread m_thread;
    http_server m_server;
};

} // namespace tamarack
