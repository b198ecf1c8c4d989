#pragma once

#include "route_table.h"
#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** What a service prefers when it can't have both. */
enum class service_preference {
    coverage, ///< waits for missing shards until the deadline
    latency,  ///< answers with what it has once the least coverage is reached
};

template <>
struct name_table<service_preference> {
    static constexpr std::array<std::pair<service_preference, std::string_view>, 2> entries{{
        {service_preference::coverage, "coverage"},
        {service_preference::latency, "latency"},
    }};
};

/** Shards under one name of a map; an index version belongs to one map. */
struct shard_map {
    std::string name;
    std::vector<shard_id> shards;

    bool operator==(const shard_map&) const = default;
};

/** Objectives of a service, for the report on burn. */
struct service_objectives {
    duration latency = 55ms;  ///< an answer later than this is not good
    double good_share = 0.99; ///< share of requests that must be good

    bool operator==(const service_objectives&) const = default;
};

/** Bounds that one service's requests keep to. */
struct service_budgets {
    double extra_load = 0.05;             ///< hedges and retries over first attempts
    std::uint32_t queued_requests = 200;  ///< on one host
    std::uint32_t running_requests = 200; ///< on one host

    bool operator==(const service_budgets&) const = default;
};

/** A service: one kind of query over its shards. */
struct service_definition {
    service_id id;
    std::vector<shard_map> maps; ///< at least one; a repartition adds a map, then drops the old one
    service_preference preference = service_preference::coverage;
    double least_coverage = 1.0;    ///< an answer below this share of shards is refused
    duration default_deadline = 1s; ///< for requests that name none
    std::uint32_t entry_hosts = 3;  ///< how many hosts share the service's replicas
    service_objectives objectives;
    service_budgets budgets;

    bool operator==(const service_definition&) const = default;
};

/** Limits of the replicas of a service, or of one shard of it when `shard` is not empty. */
struct replica_limits {
    service_id service;
    shard_id shard;
    std::uint32_t slots = 1;       ///< exchanges that run at once at one replica
    std::uint32_t connections = 1; ///< connections open at once to one replica

    bool operator==(const replica_limits&) const = default;
};

/** Where a service's requests go first. */
struct routing_rule {
    std::string name;
    service_id service;
    data_center_id from;                ///< data centre of the entry host; empty matches any
    std::vector<data_center_id> prefer; ///< data centres of targets, nearest first

    bool operator==(const routing_rule&) const = default;
};

/** What operators want of a host. */
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

/** An operator's wish for one host. */
struct host_order {
    host_id host;
    host_intent intent = host_intent::active;

    bool operator==(const host_order&) const = default;
};

/** Key of replica_limits: service and shard (empty for all shards). */
using limits_key = std::pair<service_id, shard_id>;

/** Everything that tickets have built up to a number. */
struct configuration {
    ticket_number number; ///< the latest accepted ticket
    digest content;       ///< that ticket's digest
    std::map<service_id, service_definition> services;
    std::map<limits_key, replica_limits> limits;
    std::map<std::string, routing_rule> rules;
    std::map<host_id, host_order> hosts;
    std::optional<route_table> routes; ///< of requests that are passed on unread

    bool operator==(const configuration&) const = default;

    /**
     * @return the limits that hold for a replica of a shard: those of its shard, else those of its service,
     * else one slot and one connection
     */
    replica_limits limits_for(const service_id& service, const shard_id& shard) const;
};

} // namespace tamarack
