#pragma once

#include "configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** Names of objects that a ticket removes. */
struct ticket_removals {
    std::vector<service_id> services;
    std::vector<limits_key> limits;
    std::vector<std::string> rules;
    std::vector<host_id> hosts;

    bool operator==(const ticket_removals&) const = default;
};

/** A numbered configuration change, with the complete new state of each object that it touches. */
struct ticket {
    ticket_number number;
    std::string author; ///< name of the operator's token; not part of the digest
    std::vector<service_definition> services;
    std::vector<replica_limits> limits;
    std::vector<routing_rule> rules;
    std::vector<host_order> hosts;
    std::optional<route_table> routes; ///< the whole new route table; absent if unchanged
    ticket_removals removals;

    bool operator==(const ticket&) const = default;
};

} // namespace tamarack
