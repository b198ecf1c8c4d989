#pragma once

#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_transport/tamarack_transport.h>

namespace tamarack {

/** @return the limits of the HTTP server for callers, from the host's settings */
http_server_limits caller_limits_of(const settings& host_settings);

} // namespace tamarack
