#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>

namespace tamarack {

/**
 * An entry host's request for permission to run a non-idempotent request.
 * It is committed before any byte is sent to a target.
 */
struct claim {
    service_id service;
    idempotency_key key;
    digest content;        ///< digest of the request's service, shard and body
    wall_time issued_at{}; ///< when the caller issued the request; a resent request must state the same time
    host_id host;          ///< the entry host that wants to run it
    incarnation_id incarnation; ///< incarnation of that host's process
    std::uint64_t attempt = 0;  ///< random number drawn by the entry host; a resent claim has the same one

    bool operator==(const claim&) const = default;
};

/** How a claimed request ended. */
enum class run_result {
    answered, ///< the target's reply is recorded
    not_run,  ///< no byte was sent, or the target said that it did not run it; the key may be claimed again
    unknown,  ///< it may have run; it is never resent
};

template <>
struct name_table<run_result> {
    static constexpr std::array<std::pair<run_result, std::string_view>, 3> entries{{
        {run_result::answered, "answered"},
        {run_result::not_run, "not_run"},
        {run_result::unknown, "unknown"},
    }};
};

/** Result of a claimed request, as reported by its entry host. */
struct claim_result {
    service_id service;
    idempotency_key key;
    std::uint64_t attempt = 0;
    run_result result = run_result::unknown;
    std::string reply;            ///< the target's reply if answered; at most max_recorded_reply bytes
    bool reply_is_digest = false; ///< the reply was longer and is replaced by its digest

    bool operator==(const claim_result&) const = default;
};

/** Maximum size in bytes of a reply recorded in full; a longer reply is recorded by its digest only. */
inline constexpr std::size_t max_recorded_reply = std::size_t{16} * 1024;

/** @return the result to record: a reply longer than max_recorded_reply is replaced by its digest */
claim_result with_bounded_reply(claim_result result);

/** Decision on a claim. */
enum class claim_verdict {
    granted,  ///< this attempt may send the request
    running,  ///< another attempt may be running it
    finished, ///< the request has ended; the answer holds its result
    conflict, ///< the key was claimed with different content
    expired,  ///< the time of issue is older than the retention, or in the future
    full,     ///< the ledger has no room for another claim at present
};

template <>
struct name_table<claim_verdict> {
    static constexpr std::array<std::pair<claim_verdict, std::string_view>, 6> entries{{
        {claim_verdict::granted, "granted"},
        {claim_verdict::running, "running"},
        {claim_verdict::finished, "finished"},
        {claim_verdict::conflict, "conflict"},
        {claim_verdict::expired, "expired"},
        {claim_verdict::full, "full"},
    }};
};

/** Answer to a claim. */
struct claim_answer {
    claim_verdict verdict = claim_verdict::expired;
    run_result result = run_result::unknown; ///< set if finished
    std::string reply;                       ///< set if finished and answered
    bool reply_is_digest = false;            ///< the reply was too long to record; `reply` holds its digest
    digest accepted_content;                 ///< on conflict: the content that the key was claimed with

    bool operator==(const claim_answer&) const = default;
};

} // namespace tamarack
