#include "server_limits.h"

#include <tamarack_forwarding/tamarack_forwarding.h>

namespace tamarack {

namespace {

/** Lines about refusals of one server: misbehaving callers cause thousands a second. Metrics count all. */
constexpr double refusal_lines_per_second = 1.0;
constexpr double refusal_lines_burst = 10.0;

/** The memory for connections is divided into this many parts. With a machine of 160 MB, control's suffice
 * for one configuration of the largest size, 8 MiB; those of hosts for two messages with configurations of 6
 * MB, the largest seen: a control host receives them with the log and with its lease. */
constexpr std::size_t memory_parts = 40;

std::size_t memory_parts_of(server_kind kind) {
    switch (kind) {
    case server_kind::callers:
        return 15;
    case server_kind::hosts:
        return 12;
    case server_kind::control:
        return 9;
    case server_kind::operators:
        return 2;
    case server_kind::readiness:
    case server_kind::directory:
        break;
    }
    return 1;
}

} // namespace

http_server_limits server_limits_of(const settings& host_settings, server_kind kind) {
    http_server_limits limits;
    limits.header_fields = host_settings.limits.header_fields;
    limits.memory = connection_memory_of(host_settings.limits) / memory_parts * memory_parts_of(kind);
    return limits;
}

http_server_limits caller_limits_of(const settings& host_settings) {
    http_server_limits limits = server_limits_of(host_settings, server_kind::callers);
    limits.header_bytes = host_settings.limits.header_bytes;
    limits.body_bytes = host_settings.limits.body_bytes;
    limits.connections = host_settings.limits.caller_connections;
    limits.idle = host_settings.limits.idle_connection;
    limits.receipt = host_settings.limits.request_receipt;
    return limits;
}

void report_refusals(http_server& server, server_kind kind, metric_registry& metrics) {
    server.on_refusal([&metrics, kind, lines = rate_limiter{refusal_lines_per_second, refusal_lines_burst}](
                          connection_refusal cause) mutable {
        metrics.count(counter_id::connection_refusals_total, to_name(cause));
        if (lines.take(steady_now())) {
            log_state_change(
                log_level::info, "connection_refused", {},
                {{"server", std::string{to_name(kind)}}, {"cause", std::string{to_name(cause)}}});
        }
    });
}

} // namespace tamarack
