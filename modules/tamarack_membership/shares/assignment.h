#pragma once

#include "../hosts/host_record.h"
#include <tamarack_tickets/tamarack_tickets.h>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace tamarack {

/** The hosts that share a service's replicas, in the order that determines their shares. */
using service_hosts = std::map<service_id, std::vector<host_id>>;

/** The agreed assignment of services to entry hosts; committed in the log, one epoch after another. */
struct assignment {
    std::uint64_t epoch = 0;
    service_hosts services;

    bool operator==(const assignment&) const = default;
};

/** An entry host, as input to the planner. */
struct candidate_host {
    host_id host;
    data_center_id data_center;
    bool draining = false;
};

/** Maximum number of hosts that may share a service; a service that is not listed has no such limit. */
using service_host_bounds = std::map<service_id, std::uint32_t>;

/**
 * Plans the next assignment: keeps existing placements where possible, replaces hosts that are no longer
 * available, and spreads services evenly over hosts and data centres.
 *
 * Plan again only when the current assignment is settled. @see share_during_change
 *
 * @param current     the latest committed assignment
 * @param wanted      the services, with the number of hosts that each wants
 * @param candidates  hosts whose lease is valid
 * @param bounds      maximum number of hosts per service: the slots of all replicas of its smallest shard,
 *                    where known
 * @return the next assignment, or nothing if the current one still fits
 */
std::optional<assignment> plan_assignment(const assignment& current, const configuration& wanted,
                                          const std::vector<candidate_host>& candidates,
                                          const service_host_bounds& bounds = {});

/** @return the assignment as JSON */
Json::Value encode_assignment(const assignment& value);
/** @return the assignment, or an error that describes the problem in the JSON */
outcome<assignment> decode_assignment(const Json::Value& json);

} // namespace tamarack
