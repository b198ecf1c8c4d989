#pragma once

#include "team.h"

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** Kind of a route's destination. */
enum class route_destination {
    service, ///< one service
    split,   ///< one of several services, chosen by weight
    shards,  ///< every listed service; the replies are merged into one answer
};

template <>
struct name_table<route_destination> {
    static constexpr std::array<std::pair<route_destination, std::string_view>, 3> entries{{
        {route_destination::service, "service"},
        {route_destination::split, "split"},
        {route_destination::shards, "shards"},
    }};
};

/** Whether a request may be executed again after it was, or may have been, executed. */
enum class repeatability {
    repeatable,
    at_most_once,
};

template <>
struct name_table<repeatability> {
    static constexpr std::array<std::pair<repeatability, std::string_view>, 2> entries{{
        {repeatability::repeatable, "repeatable"},
        {repeatability::at_most_once, "once"},
    }};
};

/** One of a route's destination services. */
struct route_service {
    service_id service;
    std::uint32_t weight = 1; ///< relative share of the requests of a split; unused otherwise

    bool operator==(const route_service&) const = default;
};

/** A route: the requests that it matches, their destination and their limits. */
struct route {
    std::string name;
    std::string authority; ///< host name that callers address
    std::string prefix;    ///< path prefix; begins and ends with a slash
    route_destination destination = route_destination::service;
    std::vector<route_service> services; ///< one; several if the destination is a split or shards
    repeatability repeats = repeatability::repeatable;
    std::uint32_t attempts = 1;       ///< maximum targets that may run one request; for shards, per shard
    duration timeout = 1s;            ///< maximum time that a caller waits for its answer
    duration objective = 100ms;       ///< time within which an answer counts as good
    std::uint32_t priority = 0;       ///< 0 is the most urgent
    std::uint32_t result_limit = 0;   ///< maximum records in a merged answer
    double least_coverage = 1.0;      ///< minimum share of the shards in a merged answer
    bool is_public = false;           ///< its requests need no key
    std::vector<std::string> regions; ///< of the targets that may run its requests; empty means all

    bool operator==(const route&) const = default;
};

/** @return the number of parts, of `total`, that an answer needs at least to reach a share; never zero */
std::size_t parts_needed(double least_share, std::size_t total);

/** Settings of a service's replicas in a route table. */
struct routed_service {
    service_id id;
    std::string health_path;       ///< path that a replica answers while it is healthy
    std::uint32_t connections = 1; ///< connections that one replica accepts from all hosts together
    /** Requests a second that a replica takes from all hosts together while it is cold; 0 means no limit. */
    double warmup_requests_per_second = 0.0;

    bool operator==(const routed_service&) const = default;
};

/** Limits on callers' connections; zero selects the host's own setting. */
struct caller_limits {
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    duration header_time{0}; ///< maximum time in which a request's header must arrive
    duration idle_time{0};   ///< idle time after which a connection is closed

    bool operator==(const caller_limits&) const = default;
};

/**
 * The routes of callers' requests, replaced as a whole by a ticket.
 *
 * `source` is only returned to operators; routing doesn't use it.
 */
struct route_table {
    std::vector<route> routes;
    std::vector<routed_service> services;
    caller_limits limits;
    bool requires_keys = false; ///< requests on routes that are not public need the key of a team
    std::vector<team> teams;
    std::string source; ///< the operator's document, unchanged

    bool operator==(const route_table&) const = default;
};

} // namespace tamarack
