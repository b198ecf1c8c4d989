#include "server_limits.h"

namespace tamarack {

http_server_limits caller_limits_of(const settings& chosen) {
    http_server_limits limits;
    limits.header_bytes = chosen.limits.header_bytes;
    limits.body_bytes = chosen.limits.body_bytes;
    limits.connections = chosen.limits.caller_connections;
    limits.idle = chosen.limits.idle_connection;
    limits.receipt = chosen.limits.request_receipt;
    return limits;
}

} // namespace tamarack
