#pragma once

#include "../connections/connection.h"
#include "../request/query_answer.h"
#include "../targets/service_state.h"

#include <optional>
#include <vector>

namespace tamarack {

/** Progress of one shard's part of a request. */
enum class shard_progress {
    held_back, ///< not sent yet, for instance because no canary has replied yet
    waiting,   ///< waits for a slot and a connection
    running,
    awaiting_budget, ///< failed; will be retried when the extra load budget allows
    covered,
    missing,
};

/** An exchange whose reply has not arrived yet. */
struct attempt {
    connection_number connection = 0;
    exchange_number number = 0;
    std::uint64_t replica = 0;
    time_point sent_at{};
    attempt_kind kind = attempt_kind::first;
};

/** One shard's part of a request. */
struct shard_run {
    shard_state* shard = nullptr;
    shard_progress progress = shard_progress::held_back;
    std::vector<attempt> attempts;    ///< exchanges running at present
    std::vector<std::uint64_t> tried; ///< numbers of replicas whose exchange failed
    std::string body;                 ///< if covered
    index_version stated_version;     ///< if covered: the version stated in the reply
    missing_reason reason = missing_reason::deadline_passed;
    time_point hedge_at = time_point::max();
    std::uint32_t sent = 0; ///< exchanges sent since the current index version was chosen
};

/** Progress of a non-idempotent request. */
enum class at_most_once_progress {
    not_claimed,
    claiming,
    claimed, ///< waits for a replica
    probing,
    sent,
};

/** State of a request, from its arrival to its removal after the answer. */
struct query_run {
    caller_request request;
    std::shared_ptr<const std::string> body;
    service_state* service = nullptr;
    offered_version version;
    std::vector<shard_run> shards;
    std::uint32_t generation = 0; ///< number of index versions chosen so far
    bool started = false;
    bool answered = false;
    std::uint32_t possibly_run = 0; ///< exchanges sent, except those that a target reported as not run
    bool content_proven = false;    ///< a target has completed the same content
    bool caller_gone = false;
    time_point arrived_at{};
    time_point started_at{};
    time_point answer_deadline{}; ///< latest time for the answer
    time_point wake_at = time_point::max();
    std::uint32_t connections_lost = 0; ///< connections lost while they ran an exchange of this request
    bool waits_for_content = false;     ///< waits for the outcome of another request with the same content
    request_content content;
    std::uint32_t exposed = 0; ///< targets to which this request exposes its content

    at_most_once_progress at_most_once = at_most_once_progress::not_claimed;
    std::uint64_t claim_attempt = 0;
    bool claim_granted = false;

    bool runs_at_most_once() const { return !request.at_most_once.key.empty(); }
    std::size_t count(shard_progress progress) const;
    /** @return the share of shards that are covered */
    double coverage() const;
    /** @return the share of shards that are covered or may still become so */
    double possible_coverage() const;
    /** @return the share of shards that must be covered */
    double least_coverage() const;
};

} // namespace tamarack
