#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** What a daemon does. */
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

/** A host to ask first when nothing else is known. */
struct seed_host {
    host_id host;
    endpoint address; ///< its address for hosts
};

/** Times of the protocols between hosts. */
struct protocol_times {
    duration heartbeat = 100ms;        ///< leader's message interval to idle followers
    duration election_timeout = 600ms; ///< shortest silence before an election
    duration lease_length = 3s;        ///< validity of a configuration lease
    duration lease_renewal = 1s;       ///< interval between renewals
    duration probe_interval = 500ms;   ///< between two probes of other hosts
    duration target_lease = 2s;        ///< silence after which a target gets no new work
    duration directory_keep = 10s;     ///< how long callers may keep a directory answer
    duration drain_limit = 60s;        ///< longest graceful shutdown
};

/** Bounds on what one host accepts. */
struct host_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 1'048'576;
    std::size_t reply_bytes = 16'777'216; ///< of one reply of a target; a longer one is given up
    std::size_t caller_connections = 2'000;
    std::size_t queued_requests = 1'000;
    duration idle_connection = 60s; ///< an idle caller connection is closed after this
    duration request_receipt = 10s; ///< longest time to receive one request
};

/** How callers, targets and operators are met. */
enum class edge_kind {
    own,      ///< the product's own interface: JSON over HTTP
    platform, ///< the users' platform: plain requests, passed on by a route table
};

template <>
struct name_table<edge_kind> {
    static constexpr std::array<std::pair<edge_kind, std::string_view>, 2> entries{{
        {edge_kind::own, "own"},
        {edge_kind::platform, "platform"},
    }};
};

/** Further addresses that the platform's edge listens on. */
struct edge_settings {
    edge_kind kind = edge_kind::own;
    endpoint readiness; ///< whether this host takes callers
    endpoint directory; ///< callers ask which hosts to use
    endpoint control;   ///< targets announce themselves, operators send configurations
};

/** How control hosts come together without an operator. */
struct formation_settings {
    bool automatic =
        false; ///< seeds are named by their IP address; voters are chosen by the hosts themselves
    bool first_start = false;           ///< the whole deployment starts for the first time, with empty disks
    std::uint32_t tolerated_losses = 1; ///< control hosts that may be lost at the same time
};

/** Bounds on passing requests on by a route table. */
struct forwarding_settings {
    double extra_ratio = 0.2;      ///< hedges and retries over requests, for each service on all hosts
    double extra_allowance = 50.0; ///< further ones in a window, whatever the load
    duration extra_window = 10s;
};

/** All settings of one daemon, already checked. */
struct settings {
    host_id host;
    data_center_id data_center;
    host_role role = host_role::entry;
    listen_addresses listen;
    double processor_share = 1.0; ///< of one core that this host may use
    double processor_speed = 1.0; ///< of that core, against the other hosts
    std::string data_folder;      ///< empty for a host without a disk
    bool recognise_copies =
        true; ///< a data folder put back from a copy is set aside; needs stable inode numbers
    std::vector<seed_host> seeds; ///< control hosts, this one among them when it is one
    protocol_times times;
    host_limits limits;
    edge_settings edge;
    formation_settings formation;
    forwarding_settings forwarding;
    std::string token_file; ///< bearer tokens of operators; empty leaves the operators' edge open
};

} // namespace tamarack
