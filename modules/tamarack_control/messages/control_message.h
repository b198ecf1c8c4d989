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
    endpoint reply_to; ///< its address for hosts
    data_center_id data_center;
    bool serves_callers = true; ///< whether it may be assigned services
    bool draining = false;
    lease_renewal renewal;
    ticket_number held_ticket;    ///< the configuration that it holds already
    std::uint64_t held_epoch = 0; ///< the assignment that it holds already
};

/** The leader grants a lease, with what the host does not hold yet. */
struct lease_granted {
    host_id from;
    lease_grant grant;
    std::optional<configuration> newer_configuration;
    std::optional<assignment> assigned;
};

/** A control host that can't serve a request names the leader, as far as it knows. */
struct leader_redirect {
    host_id from;
    std::uint64_t operation = 0; ///< of the claim or result; the renewal's number for a lease
    host_id leader;              ///< empty when unknown
    /** Accepted, as far as the sender knows, if the host holds an older one. */
    std::optional<configuration> known = std::nullopt;
};

/** The leader tells lease holders that renewing at once would bring news. */
struct announce_update {
    host_id from;
    ticket_number latest;
    std::uint64_t epoch = 0;
    std::uint64_t settled_epoch = 0;
};

/** A host gives its lease back. */
struct release_lease {
    host_id from;
    incarnation_id incarnation;
};

/** A host wants a claim committed. */
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

/** A host wants the end of a claimed request recorded. */
struct report_result {
    host_id from;
    endpoint reply_to;
    std::uint64_t operation = 0;
    claim_result ended;
};

/** A result is committed. */
struct result_recorded {
    host_id from;
    std::uint64_t operation = 0;
};

/** Messages between hosts and control hosts; loss is allowed, whoever asked repeats. */
using control_message =
    std::variant<renew_lease, lease_granted, leader_redirect, announce_update, release_lease, request_claim,
                 claim_decided, report_result, result_recorded>;

} // namespace tamarack
