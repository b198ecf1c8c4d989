#pragma once

#include "forwarding_mechanism.h"
#include "locality_mode.h"

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** Role of a daemon. */
enum class host_role {
    entry,
    control,
    both,
};

template <>
struct name_table<host_role> {
    static constexpr std::array<std::pair<host_role, std::string_view>, 3> entries{{
        {host_role::entry, "entry"},
        {host_role::control, "control"},
        {host_role::both, "both"},
    }};
};

/** Addresses that a daemon listens on; each is an IP address with a port. */
struct listen_addresses {
    endpoint callers;   ///< requests, directory, announcements of targets
    endpoint operators; ///< tickets, state, metrics
    endpoint hosts;     ///< JSON-RPC between hosts
};

/** A host to contact when no other host is known yet. */
struct seed_host {
    host_id host;
    endpoint address; ///< where it listens for other hosts
};

/** Intervals and time-outs of the protocols between hosts. */
struct protocol_times {
    duration heartbeat = 100ms;        ///< interval of the leader's messages to idle followers
    duration election_timeout = 600ms; ///< minimum time without a message from the leader before an election
    duration lease_length = 3s;        ///< validity of a configuration lease
    duration lease_renewal = 1s;       ///< interval between renewals
    duration probe_interval = 500ms;   ///< interval between probes of other hosts
    duration target_lease = 2s;        ///< time without an announcement after which a target gets no new work
    duration directory_keep = 10s;     ///< how long callers may cache a directory answer
    duration drain_limit = 60s;        ///< maximum duration of a graceful shutdown
};

/** Limits of what one host accepts. */
struct host_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 1'048'576;
    std::size_t reply_bytes = 16'777'216; ///< maximum size of a target's reply; a longer one is abandoned
    std::size_t header_fields = 4'096;    ///< number of header fields of one request
    std::size_t machine_memory = 0;       ///< memory that the process may use; 0 if it is not stated
    std::size_t connection_bytes = 0;     ///< memory for requests and responses; 0: see connection_memory_of
    std::size_t caller_connections = 2'000;
    std::size_t queued_requests = 1'000;
    duration idle_connection = 60s; ///< an idle caller connection is closed after this time
    duration request_receipt = 10s; ///< maximum time to receive one request
};

/**
 * @return the memory that the connections of all servers of the process may hold together for requests and
 * responses: as set, or else a third of the stated memory, since an idle host takes about 19 MB, and reading
 * a configuration several times its size; 64 MiB if no memory is stated
 */
constexpr std::size_t connection_memory_of(const host_limits& limits) {
    constexpr std::size_t default_bytes = 67'108'864;
    constexpr std::size_t machine_part = 3;
    if (limits.connection_bytes > 0) {
        return limits.connection_bytes;
    }
    return limits.machine_memory > 0 ? limits.machine_memory / machine_part : default_bytes;
}

/** Interface that is offered to callers, targets and operators. */
enum class edge_kind {
    own,      ///< the product's own interface: JSON over HTTP
    platform, ///< the interface of the users' platform: plain requests, forwarded by a route table
};

template <>
struct name_table<edge_kind> {
    static constexpr std::array<std::pair<edge_kind, std::string_view>, 2> entries{{
        {edge_kind::own, "own"},
        {edge_kind::platform, "platform"},
    }};
};

/** Additional addresses that the platform's interface listens on. */
struct edge_settings {
    edge_kind kind = edge_kind::own;
    endpoint readiness; ///< reports whether this host accepts callers
    endpoint directory; ///< callers ask it which hosts to use
    endpoint control;   ///< targets announce themselves, operators send configurations
};

/** Automatic formation of the group of control hosts, without an operator. */
struct formation_settings {
    bool automatic = false;   ///< seeds are named by their IP address; the hosts choose the voters themselves
    bool first_start = false; ///< the whole deployment starts for the first time, with empty disks
    std::uint32_t tolerated_losses = 1;       ///< number of control hosts that may be lost at the same time
    std::vector<data_center_id> data_centers; ///< all of the deployment's; empty: any name is accepted
};

/** Limits on the extra exchanges (hedges and retries) of forwarded requests. */
struct forwarding_settings {
    double extra_ratio = 0.2; ///< ratio of hedges and retries to requests, of each service over all hosts
    double extra_allowance = 50.0; ///< further ones allowed in each window, whatever the load
    duration extra_window = 10s;
    locality_mode locality = locality_mode::fixed;
    mechanisms_in_use mechanisms; ///< some are switched off only for measurements
};

/** How callers' teams are handled. */
struct team_settings {
    /** Time after the acceptance of a ticket that removes a key, after which the key may not be used on any
     * host. Zero: a host that is cut off goes on accepting the keys it knows. */
    duration revocation_time{0};
    duration limit_window = 5s; ///< period over which the requests of a team are counted
    double limit_overage = 0.1; ///< tolerated excess over a team's limit, as a fraction of it
    double limit_slack = 20.0;  ///< further tolerated requests in each window
};

/** All settings of one daemon, validated. */
struct settings {
    host_id host;
    data_center_id data_center;
    host_role role = host_role::entry;
    listen_addresses listen;
    double processor_share = 1.0; ///< processor time that this host may use; 1 is one core
    double processor_speed = 1.0; ///< speed of a core, relative to the other hosts
    std::string data_folder;      ///< empty for a host without a disk
    bool recognise_copies =
        true; ///< a data folder restored from a copy is set aside; needs stable inode numbers
    std::vector<seed_host> seeds; ///< control hosts, including this one if it is one
    protocol_times times;
    host_limits limits;
    edge_settings edge;
    formation_settings formation;
    forwarding_settings forwarding;
    team_settings teams;
    std::string token_file; ///< file of the operators' bearer tokens; if empty, operators need none
};

} // namespace tamarack
