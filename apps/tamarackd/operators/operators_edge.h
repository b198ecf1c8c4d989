#pragma once

#include "../control/control_worker.h"
#include "../hosts/hosts_worker.h"

#include "operator_tokens.h"

#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>

namespace tamarack {

/** The workers and actions that operators' calls need; `control` is nullptr on a host without the control
 * role. */
struct operators_hooks {
    hosts_worker* hosts = nullptr;
    control_worker* control = nullptr;
    std::function<void()> drain;
};

/**
 * Serves operators on a separate address and worker thread: tickets, state, metrics.
 */
class operators_edge {
public:
    /** @param tokens  accepted bearer tokens; health and metrics need none */
    operators_edge(const settings& host_settings, metric_registry& metrics, operator_tokens tokens,
                   operators_hooks hooks);

    /** Starts to listen, and starts the thread. @return the bound address */
    outcome<endpoint> start();
    void stop();

private:
    std::function<void()> on_http(const http_request& message, const http_responder& respond);
    void on_get(const std::vector<std::string>& path, const http_responder& respond);
    void on_post(const std::vector<std::string>& path, const http_request& message, const std::string& author,
                 const http_responder& respond);
    void show_in_force(const http_responder& respond);
    void show_history(const http_responder& respond);
    void show_state(const http_responder& respond);
    void submit_ticket(const http_request& message, const std::string& author, const http_responder& respond);
    void bootstrap(const http_request& message, const http_responder& respond);
    void change_voters(const http_request& message, const http_responder& respond);

    /** @return a responder that may be called from any thread */
    http_responder from_any_thread(const http_responder& respond);
    /** Resolves the host names in the message to identities in the log, then calls `next` on the hosts
     * worker's thread. */
    void resolve_members(const http_request& message, const http_responder& respond,
                         const std::function<void(std::vector<member_id>)>& next);

    const settings& m_settings;
    metric_registry& m_metrics;
    operator_tokens m_tokens;
    operators_hooks m_hooks;
    worker_thread m_thread;
    http_server m_server;
};

} // namespace tamarack
