#pragma once

#include "../state/control_command.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace tamarack {

/** A host asks a control host to renew its lease. */
struct renew_lease {
    host_id from;
    incarnation_id incarnation;
    endpoint reply_to; ///< the sender's address for messages from hosts
    data_center_id data_center;
    bool serves_callers = true; ///< whether it may be assigned services
    bool draining = false;
    lease_renewal renewal;
    ticket_number held_ticket;          ///< ticket of the configuration that the sender has
    std::uint64_t held_epoch = 0;       ///< epoch of the assignment that the sender has
    std::uint64_t held_evacuations = 0; ///< epoch of the evacuation orders that the sender has
};

/** The leader grants a lease, and sends the configuration, the assignment and the evacuation orders if
 * the host's are older. */
struct lease_granted {
    host_id from;
    lease_grant grant;
    shared_configuration newer_configuration; ///< null if the host has the latest one
    std::optional<assignment> assigned;
    std::optional<evacuation_orders> evacuations; ///< absent if the host has the latest ones
};

/** Answer of a control host that can't serve a request; it names the leader, if it knows one. */
struct leader_redirect {
    host_id from;
    std::uint64_t operation = 0;          ///< number of the claim, result or lease renewal
    host_id leader;                       ///< empty when unknown
    shared_configuration known = nullptr; ///< the latest accepted one that the sender knows, or null
};

/** The leader announces a change; lease holders renew at once to obtain it. */
struct announce_update {
    host_id from;
    ticket_number latest;
    std::uint64_t epoch = 0;
    std::uint64_t settled_epoch = 0;
    std::uint64_t evacuations = 0; ///< epoch of the latest evacuation orders
};

/** A host releases its lease. */
struct release_lease {
    host_id from;
    incarnation_id incarnation;
};

/** A host requests that a claim be committed. */
struct request_claim {
    host_id from;
    endpoint reply_to;
    std::uint64_t operation = 0;
    claim wanted;
};

/** The decision on a committed claim. */
struct claim_decided {
    host_id from;
    std::uint64_t operation = 0;
    claim_answer answer;
};

/** A host requests that the result of a claimed request be recorded. */
struct report_result {
    host_id from;
    endpoint reply_to;
    std::uint64_t operation = 0;
    claim_result ended;
};

/** Confirms that a result is committed. */
struct result_recorded {
    host_id from;
    std::uint64_t operation = 0;
};

/** Messages between hosts and control hosts. They may be lost; requests are retransmitted. */
using control_message =
    std::variant<renew_lease, lease_granted, leader_redirect, announce_update, release_lease, request_claim,
                 claim_decided, report_result, result_recorded>;

/** @return the configuration that a message holds, or null */
shared_configuration configuration_of(const control_message& message);

} // namespace tamarack
