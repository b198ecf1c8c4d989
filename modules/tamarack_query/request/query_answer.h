#pragma once

#include "caller_request.h"

#include <string>
#include <vector>

namespace tamarack {

/** How a request ended, as reported to its caller. */
enum class request_outcome {
    answered, ///< all shards are covered
    partial,  ///< some shards are missing, each with a reason
    not_run,  ///< no part of it was run
    unknown,  ///< it may have been run; there is no answer
};

template <>
struct name_table<request_outcome> {
    static constexpr std::array<std::pair<request_outcome, std::string_view>, 4> entries{{
        {request_outcome::answered, "answered"},
        {request_outcome::partial, "partial"},
        {request_outcome::not_run, "not_run"},
        {request_outcome::unknown, "unknown"},
    }};
};

/** Why a request was refused. */
enum class refusal_reason {
    none,
    unknown_service,
    no_lease, ///< this host holds no lease: it can't confirm the ticket in force
    draining, ///< this host is draining
    queue_full,
    cannot_finish, ///< expected to finish after its deadline, or to wait longer than the latency objective
    deadline_passed,
    no_common_version, ///< no index version is held by replicas of enough shards
    coverage_too_low,
    quarantined, ///< the same request has crashed two targets, or is suspected of it
    no_free_replica,
    key_conflict, ///< the idempotency key was used with different content
    key_expired,
    key_running,       ///< another attempt under the key may be running
    key_unknown,       ///< an earlier attempt under the key may have run; it is never resent
    claim_unavailable, ///< the claim could not be committed
    target_refused,    ///< the target replied that it did not run the request
    connection_lost,   ///< the connection broke while the request may have been running
    caller_gone,
    unknown_shard, ///< the version lacks the shard, or has several and a non-idempotent request names none
    target_failed, ///< the target ran the request and failed
};

template <>
struct name_table<refusal_reason> {
    static constexpr std::array<std::pair<refusal_reason, std::string_view>, 21> entries{{
        {refusal_reason::none, "none"},
        {refusal_reason::unknown_service, "unknown_service"},
        {refusal_reason::no_lease, "no_lease"},
        {refusal_reason::draining, "draining"},
        {refusal_reason::queue_full, "queue_full"},
        {refusal_reason::cannot_finish, "cannot_finish"},
        {refusal_reason::deadline_passed, "deadline_passed"},
        {refusal_reason::no_common_version, "no_common_version"},
        {refusal_reason::coverage_too_low, "coverage_too_low"},
        {refusal_reason::quarantined, "quarantined"},
        {refusal_reason::no_free_replica, "no_free_replica"},
        {refusal_reason::key_conflict, "key_conflict"},
        {refusal_reason::key_expired, "key_expired"},
        {refusal_reason::key_running, "key_running"},
        {refusal_reason::key_unknown, "key_unknown"},
        {refusal_reason::claim_unavailable, "claim_unavailable"},
        {refusal_reason::target_refused, "target_refused"},
        {refusal_reason::connection_lost, "connection_lost"},
        {refusal_reason::caller_gone, "caller_gone"},
        {refusal_reason::unknown_shard, "unknown_shard"},
        {refusal_reason::target_failed, "target_failed"},
    }};
};

/** Why a shard is missing from an answer. */
enum class missing_reason {
    no_replica,   ///< no usable replica is known
    version_lost, ///< no replica holds the answer's index version any longer
    deadline_passed,
    failed, ///< all replicas tried have failed
    shed,   ///< all replicas tried refused because of load
};

template <>
struct name_table<missing_reason> {
    static constexpr std::array<std::pair<missing_reason, std::string_view>, 5> entries{{
        {missing_reason::no_replica, "no_replica"},
        {missing_reason::version_lost, "version_lost"},
        {missing_reason::deadline_passed, "deadline_passed"},
        {missing_reason::failed, "failed"},
        {missing_reason::shed, "shed"},
    }};
};

/** One shard's part of an answer. */
struct covered_shard {
    shard_id shard;
    std::string body;
};

/** A shard that is missing from an answer. */
struct missing_shard {
    shard_id shard;
    missing_reason reason = missing_reason::no_replica;
};

/** The final answer to one request. */
struct query_answer {
    request_number number = 0;
    request_id id;
    request_outcome outcome = request_outcome::not_run;
    refusal_reason reason = refusal_reason::none;
    ticket_number ticket;
    index_version version; ///< the index version of all parts
    std::vector<covered_shard> covered;
    std::vector<missing_shard> missing;
    duration retry_after{}; ///< if refused: how long the caller should wait before a retry
};

} // namespace tamarack
