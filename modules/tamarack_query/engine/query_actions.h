#pragma once

#include "../exchange/exchange.h"
#include "../request/query_answer.h"
#include <tamarack_ledger/tamarack_ledger.h>

#include <variant>
#include <vector>

namespace tamarack {

/** Open a connection to a target; report on_connected or on_connection_lost. */
struct open_connection {
    connection_number connection = 0;
    target_id target;
    endpoint address;
};

/** Close a connection; nothing further is reported of it. */
struct close_connection {
    connection_number connection = 0;
};

/** Send an exchange on an idle open connection. */
struct send_exchange {
    connection_number connection = 0;
    exchange request;
};

/**
 * Tell the target that an exchange is no longer wanted. Its connection stays open until the reply has come.
 *
 * One connection of this host's share is left for this; cancels to one target go one after another.
 */
struct cancel_exchange {
    target_id target;
    endpoint address;
    exchange_number number = 0;
};

/** Prove a connection live by a short exchange on it; report on_connection_live or on_connection_lost. */
struct probe_connection {
    connection_number connection = 0;
    duration limit{};
};

/** Have a claim committed; report on_claim_answer, or on_claim_failed when that is not certain in time. */
struct commit_claim {
    request_number request = 0;
    claim wanted;
    time_point deadline;
};

/** Have the end of a claimed request recorded, as often as it takes. */
struct record_claim_result {
    claim_result ended;
};

/**
 * Tell the other hosts of the service that a target may have been lost to a request, and hold this request's
 * answer until they know: its caller could otherwise lose further targets by sending it to them.
 */
struct broadcast_crash_suspicion {
    request_number request = 0;
    service_id service;
    std::uint64_t content_hash = 0; ///< hash of the request's content, equal on all hosts
    digest content_digest;          ///< under which the content would be quarantined
    target_id target;
};

/** Tell all hosts that a request crashed two targets. */
struct broadcast_quarantine {
    digest request;
};

/** Answer a caller; the last action about this request. */
struct answer_caller {
    query_answer answer;
};

/** What the shell has to do after an event, in order. */
using query_action = std::variant<open_connection, close_connection, send_exchange, cancel_exchange,
                                  probe_connection, commit_claim, record_claim_result,
                                  broadcast_crash_suspicion, broadcast_quarantine, answer_caller>;
using query_actions = std::vector<query_action>;

} // namespace tamarack
