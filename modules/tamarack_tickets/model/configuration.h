#pragma once

#include "route_table.h"
#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** Whether a service prefers complete answers or fast ones. */
enum class service_preference {
    coverage, ///< waits for missing shards until the deadline
    latency,  ///< answers with the replies received so far once the least coverage is reached
};

template <>
struct name_table<service_preference> {
    static constexpr std::array<std::pair<service_preference, std::string_view>, 2> entries{{
        {service_preference::coverage, "coverage"},
        {service_preference::latency, "latency"},
    }};
};

/** A named set of shards. An index version belongs to one map. */
struct shard_map {
    std::string name;
    std::vector<shard_id> shards;

    bool operator==(const shard_map&) const = default;
};

/** Service-level objectives, from which burn rates are computed. */
struct service_objectives {
    duration latency = 55ms;  ///< an answer later than this is not good
    double good_share = 0.99; ///< share of requests that must be good

    bool operator==(const service_objectives&) const = default;
};

/** Limits on the load that one service's requests may cause. */
struct service_budgets {
    double extra_load = 0.05;             ///< ratio of hedges and retries to first attempts
    std::uint32_t queued_requests = 200;  ///< per host
    std::uint32_t running_requests = 200; ///< per host

    bool operator==(const service_budgets&) const = default;
};

/** A service: one kind of query over its shards. */
struct service_definition {
    service_id id;
    std::vector<shard_map> maps; ///< at least one; a new partitioning adds a map, then removes the old one
    service_preference preference = service_preference::coverage;
    double least_coverage = 1.0;    ///< an answer below this share of shards is refused
    duration default_deadline = 1s; ///< for requests that set none
    std::uint32_t entry_hosts = 3;  ///< number of hosts that the service is assigned to
    service_objectives objectives;
    service_budgets budgets;

    bool operator==(const service_definition&) const = default;
};

/** Limits of the replicas of a service, or of one shard of it when `shard` is not empty. */
struct replica_limits {
    service_id service;
    shard_id shard;
    std::uint32_t slots = 1;       ///< maximum concurrent exchanges at one replica
    std::uint32_t connections = 1; ///< maximum concurrent connections to one replica

    bool operator==(const replica_limits&) const = default;
};

/** Data centres that a service's requests prefer. */
struct routing_rule {
    std::string name;
    service_id service;
    data_center_id from;                ///< data centre of the entry host; empty matches any
    std::vector<data_center_id> prefer; ///< data centres of targets, nearest first

    bool operator==(const routing_rule&) const = default;
};

/** State that operators want a host to be in. */
enum class host_intent {
    active,
    draining,
};

template <>
struct name_table<host_intent> {
    static constexpr std::array<std::pair<host_intent, std::string_view>, 2> entries{{
        {host_intent::active, "active"},
        {host_intent::draining, "draining"},
    }};
};

/** An operator's order for one host. */
struct host_order {
    host_id host;
    host_intent intent = host_intent::active;

    bool operator==(const host_order&) const = default;
};

/** Key of replica_limits: service and shard (empty for all shards). */
using limits_key = std::pair<service_id, shard_id>;

/** Configuration that results from all tickets up to a number. */
struct configuration {
    ticket_number number; ///< the latest accepted ticket
    digest content;       ///< digest of that ticket's content
    std::map<service_id, service_definition> services;
    std::map<limits_key, replica_limits> limits;
    std::map<std::string, routing_rule> rules;
    std::map<host_id, host_order> hosts;
    std::optional<route_table> routes; ///< for requests that are forwarded without being interpreted

    bool operator==(const configuration&) const = default;

    /**
     * @return the limits of a shard's replica: those of the shard, else those of the service, else one slot
     *         and one connection
     */
    replica_limits limits_for(const service_id& service, const shard_id& shard) const;
};

/** A configuration that several threads and messages share. It can take several MiB, so it is not copied once
 * it has been accepted. */
using shared_configuration = std::shared_ptr<const configuration>;

} // namespace tamarack
