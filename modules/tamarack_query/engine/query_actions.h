#pragma once

#include "../exchange/exchange.h"
#include "../request/query_answer.h"
#include <tamarack_ledger/tamarack_ledger.h>

#include <variant>
#include <vector>

namespace tamarack {

/** Open a connection to a target; report the result by on_connected or on_connection_lost. */
struct open_connection {
    connection_number connection = 0;
    target_id target;
    endpoint address;
};

/** Close a connection; report no further events of it. */
struct close_connection {
    connection_number connection = 0;
};

/** Send an exchange on an open, idle connection. */
struct send_exchange {
    connection_number connection = 0;
    exchange request;
};

/**
 * Cancel an exchange at its target. Its connection stays open until the reply has arrived.
 *
 * One of the connections that this host may open to the target is reserved for cancellations, which are sent
 * one at a time.
 */
struct cancel_exchange {
    target_id target;
    endpoint address;
    exchange_number number = 0;
};

/** Probe a connection by a short exchange on it; report on_connection_live or on_connection_lost. */
struct probe_connection {
    connection_number connection = 0;
    duration limit{};
};

/** Commit a claim; report on_claim_answer, or on_claim_failed if the result is uncertain at the deadline. */
struct commit_claim {
    request_number request = 0;
    claim wanted;
    time_point deadline;
};

/** Record the result of a claimed request; retry until that has succeeded. */
struct record_claim_result {
    claim_result ended;
};

/**
 * Notify the other hosts of the service that a request may have crashed a target, and hold back the answer to
 * this request until they have confirmed this. Otherwise its caller could resend it to them and so crash
 * further targets.
 */
struct broadcast_crash_suspicion {
    request_number request = 0;
    service_id service;
    std::uint64_t content_hash = 0; ///< hash of the request's content, the same on all hosts
    digest content_digest;          ///< digest under which the content would be quarantined
    target_id target;
};

/** Notify all hosts that a request has crashed two targets and is quarantined. */
struct broadcast_quarantine {
    digest request;
};

/** Answer a caller. Each request is answered exactly once. */
struct answer_caller {
    query_answer answer;
};

/** An action that the I/O layer has to carry out after an event. Actions are carried out in order. */
using query_action = std::variant<open_connection, close_connection, send_exchange, cancel_exchange,
                                  probe_connection, commit_claim, record_claim_result,
                                  broadcast_crash_suspicion, broadcast_quarantine, answer_caller>;
using query_actions = std::vector<query_action>;

} // namespace tamarack
