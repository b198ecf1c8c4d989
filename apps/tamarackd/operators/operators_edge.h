#pragma once

#include "../control/control_worker.h"
#include "../hosts/hosts_worker.h"

#include "operator_tokens.h"

#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>

namespace tamarack {

/** What the operators' edge may ask for. The control duty is absent on a pure entry host. */
struct operators_hooks {
    hosts_worker* hosts = nullptr;
    control_worker* control = nullptr;
    std::function<void()> drain;
};

/**
 * The duty that answers operators: tickets, state, metrics, on an address of its own.
 */
class operators_edge {
public:
    /** @param tokens  who may ask; health and metrics are open to all */
    operators_edge(const settings& chosen, metric_registry& metrics, operator_tokens tokens,
                   operators_hooks hooks);

    /** Begins to listen and starts the thread. @return the address in use */
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
    /** Reads names of hosts and finds out their places in the log, then calls `next` on the hosts thread. */
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
