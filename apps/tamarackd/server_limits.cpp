#include "server_limits.h"

namespace tamarack {

http_server_limits caller_limits_of(const settings& host_settings) {
    http_server_limits limits;
    limits.header_bytes = host_settings.limits.header_bytes;
    limits.body_bytes = host_settings.limits.body_bytes;
    limits.connections = host_settings.limits.caller_connections;
    limits.idle = host_settings.limits.idle_connection;
    limits.receipt = host_settings.limits.request_receipt;
    return limits;
}

} // namespace tamarack
