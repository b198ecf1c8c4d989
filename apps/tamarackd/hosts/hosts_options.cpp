#include "hosts_options.h"

#include "../server_limits.h"

#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/** Callers wait up to one second for a host that does not answer, so a failed host must be detected and leave
 * the directory quickly. */
constexpr duration probe_timeout_of_near_hosts = 120ms;
constexpr duration probe_limit_of_near_hosts = 350ms;
/** Up to this number of hosts, the host with an update sends it to all others directly: one message per host,
 * without the delay of a relay. */
constexpr std::size_t directly_notified_hosts = 128;
constexpr int heartbeats_in_lease = 4;
/** Targets of the platform look for another registrar only at their next heartbeat, and try each host for one
 * second. */
constexpr duration orphan_time_of_platform_targets = 8s;
constexpr duration idle_host_connection = 10min;
constexpr std::size_t host_message_bytes = 8 * mebibyte;

} // namespace

bool serves_callers(const settings& host_settings) {
    return host_settings.role != host_role::control;
}

http_server_limits host_server_limits(const settings& host_settings) {
    http_server_limits limits = server_limits_of(host_settings, server_kind::hosts);
    limits.body_bytes = host_message_bytes;
    limits.idle = idle_host_connection;
    return limits;
}

control_client_options client_options_of(const settings& host_settings, incarnation_id incarnation,
                                         const endpoint& address) {
    control_client_options options;
    options.self = host_settings.host;
    options.incarnation = incarnation;
    options.address = address;
    options.data_center = host_settings.data_center;
    options.serves_callers = serves_callers(host_settings);
    for (const seed_host& seed : host_settings.seeds) {
        options.control_hosts.push_back(seed.host);
    }
    options.leases.length = host_settings.times.lease_length;
    options.leases.renewal = host_settings.times.lease_renewal;
    return options;
}

registry_options registry_options_of(const settings& host_settings) {
    registry_options options;
    options.target_lease = host_settings.times.target_lease;
    options.heartbeat = host_settings.times.target_lease / heartbeats_in_lease;
    if (host_settings.edge.kind == edge_kind::platform) {
        options.only_known_services = false;
        options.incarnations_are_start_times = true;
        options.orphan_time = orphan_time_of_platform_targets;
    }
    return options;
}

detector_options detector_options_of(const settings& host_settings) {
    detector_options options;
    options.probe_interval = host_settings.times.probe_interval;
    if (host_settings.edge.kind == edge_kind::platform) {
        options.probe_timeout = probe_timeout_of_near_hosts;
        options.probe_limit = probe_limit_of_near_hosts;
        options.max_direct_push_hosts = directly_notified_hosts;
        options.relay_updates = true;
    }
    return options;
}

host_record own_record_of(const settings& host_settings, incarnation_id incarnation, const endpoint& hosts,
                          const endpoint& callers) {
    host_record self;
    self.host = host_settings.host;
    self.incarnation = incarnation;
    self.data_center = host_settings.data_center;
    self.hosts_address = hosts;
    self.callers_address = callers;
    self.control = host_settings.role != host_role::entry;
    self.draining = serves_callers(host_settings);
    constexpr double thousandths = 1'000.0;
    self.capacity = static_cast<std::uint32_t>(
        std::lround(thousandths * host_settings.processor_share * host_settings.processor_speed));
    return self;
}

std::vector<host_record> seed_records_of(const settings& host_settings) {
    std::vector<host_record> records;
    for (const seed_host& seed : host_settings.seeds) {
        if (seed.host == host_settings.host) {
            continue;
        }
        host_record record;
        record.host = seed.host;
        record.hosts_address = seed.address;
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace tamarack
