#pragma once

#include "../connections/connection.h"
#include "../request/query_answer.h"
#include "../targets/service_state.h"

#include <optional>
#include <vector>

namespace tamarack {

/** How far one shard's part of a request is. */
enum class shard_progress {
    held_back, ///< not to be sent before another shard has replied
    waiting,   ///< for a slot and a connection
    running,
    awaiting_budget, ///< failed; tried again when the budget for extra load allows
    covered,
    missing,
};

/** An exchange of a request that has no reply yet. */
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
    std::vector<attempt> attempts;    ///< running at present
    std::vector<std::uint64_t> tried; ///< replicas that were sent an exchange, and failed
    std::string body;                 ///< when covered
    index_version merged_version;     ///< when covered: as the reply named it
    missing_reason reason = missing_reason::deadline_passed;
    time_point hedge_at = time_point::max();
    std::uint32_t sent = 0; ///< exchanges of the current version choice
};

/** How far a non-idempotent request is. */
enum class at_most_once_progress {
    not_claimed,
    claiming,
    claimed, ///< waits for a replica
    probing,
    sent,
};

/** A request that has no answer yet. */
struct query_run {
    caller_request request;
    std::shared_ptr<const std::string> body;
    service_state* service = nullptr;
    offered_version version;
    std::vector<shard_run> shards;
    std::uint32_t generation = 0; ///< counts choices of a version
    bool started = false;
    bool answered = false;
    std::uint32_t possibly_run = 0; ///< exchanges sent that no target declared as not run
    bool content_proven = false;    ///< a target has completed the same content
    bool caller_gone = false;
    time_point arrived_at{};
    time_point started_at{};
    time_point answer_deadline{}; ///< the answer leaves by then
    time_point wake_at = time_point::max();
    std::uint32_t connections_lost = 0; ///< while an exchange of it was running
    bool waits_for_content = false;     ///< until the same content has been completed elsewhere
    request_content content;
    std::uint32_t exposed = 0; ///< targets to which the content is exposed by this request

    at_most_once_progress at_most_once = at_most_once_progress::not_claimed;
    std::uint64_t claim_attempt = 0;
    bool claim_granted = false;

    bool runs_at_most_once() const { return !request.at_most_once.key.empty(); }
    std::size_t count(shard_progress progress) const;
    /** @return the share of shards that are covered */
    double coverage() const;
    /** @return the share of shards that are covered or may still be */
    double possible_coverage() const;
    /** @return the share of shards that must be covered */
    double least_coverage() const;
};

} // namespace tamarack
