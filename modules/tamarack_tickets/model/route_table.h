#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** Where a route leads. */
enum class route_destination {
    service, ///< one service
    split,   ///< one of several services, by weight
    shards,  ///< all of several services; their replies are merged into one answer
};

template <>
struct name_table<route_destination> {
    static constexpr std::array<std::pair<route_destination, std::string_view>, 3> entries{{
        {route_destination::service, "service"},
        {route_destination::split, "split"},
        {route_destination::shards, "shards"},
    }};
};

/** Whether a request may run again after it has run, or may have. */
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

/** One of the services that a route leads to. */
struct route_service {
    service_id service;
    std::uint32_t weight = 1; ///< of a split; not used fallback

    bool operator==(const route_service&) const = default;
};

/** A route: which requests it takes, where they go, and within which bounds. */
struct route {
    std::string name;
    std::string authority; ///< the host name that callers address
    std::string prefix;    ///< of the path; begins and ends with a slash
    route_destination destination = route_destination::service;
    std::vector<route_service> services; ///< one, or several for a split or for shards
    repeatability repeats = repeatability::repeatable;
    std::uint32_t attempts = 1;     ///< most targets that may run one request; for shards, at each of them
    duration timeout = 1s;          ///< longest time that a caller is kept waiting
    duration objective = 100ms;     ///< time within which an answer is good
    std::uint32_t priority = 0;     ///< 0 is the most urgent
    std::uint32_t result_limit = 0; ///< most records in a merged answer
    double least_coverage = 1.0;    ///< share of the shards that a merged answer needs

    bool operator==(const route&) const = default;
};

/** What a route table says of a service's replicas. */
struct routed_service {
    service_id id;
    std::string health_path;       ///< answered while the replica is healthy
    std::uint32_t connections = 1; ///< that one replica accepts from all hosts together

    bool operator==(const routed_service&) const = default;
};

/** Bounds on callers' connections; zero leaves the host's own setting. */
struct caller_limits {
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    duration header_time{0}; ///< longest time for the header of a request to arrive
    duration idle_time{0};   ///< an idle connection is closed after this

    bool operator==(const caller_limits&) const = default;
};

/**
 * The routes of callers' requests, replaced as a whole by a ticket.
 *
 * Watch out: `source` is what operators read back; nothing is decided by it.
 */
struct route_table {
    std::vector<route> routes;
    std::vector<routed_service> services;
    caller_limits limits;
    std::string source; ///< the document that the operator sent, unchanged

    bool operator==(const route_table&) const = default;
};

} // namespace tamarack
