#pragma once

#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <string>

namespace tamarack {

/** The servers of a daemon. */
enum class server_kind {
    callers,
    readiness,
    directory,
    control,
    hosts,
    operators,
};

template <>
struct name_table<server_kind> {
    static constexpr std::array<std::pair<server_kind, std::string_view>, 6> entries{{
        {server_kind::callers, "callers"},
        {server_kind::readiness, "readiness"},
        {server_kind::directory, "directory"},
        {server_kind::control, "control"},
        {server_kind::hosts, "hosts"},
        {server_kind::operators, "operators"},
    }};
};

/**
 * @return limits of a server that are common to all: the number of header fields, and its part of the memory
 * for connections. The parts are fixed, so that callers who exhaust one server's part leave the others
 * unaffected.
 */
http_server_limits server_limits_of(const settings& host_settings, server_kind kind);

/** @return the limits of the HTTP server for callers, from the host's settings */
http_server_limits caller_limits_of(const settings& host_settings);

/** Counts and logs what a server refuses. Call before its thread starts. @param metrics must outlive the
 * server */
void report_refusals(http_server& server, server_kind kind, metric_registry& metrics);

} // namespace tamarack
