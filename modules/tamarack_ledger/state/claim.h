#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <string>

namespace tamarack {

/** An entry host's wish to run a non-idempotent request: committed before the first byte goes to a target. */
struct claim {
    service_id service;
    idempotency_key key;
    digest content;             ///< of the request's body and service
    wall_time issued_at{};      ///< the caller's time of issue, part of the key
    host_id host;               ///< the entry host that would run it
    incarnation_id incarnation; ///< of that host's process
    std::uint64_t attempt =
        0; ///< drawn by the entry host; the same claim asked again carries the same attempt

    bool operator==(const claim&) const = default;
};

/** How a claimed request ended. */
enum class run_result {
    answered, ///< the target's reply is recorded
    not_run,  ///< no byte left, or the target said so; the key may be claimed again
    unknown,  ///< it may have run; it is never sent again
};

template <>
struct name_table<run_result> {
    static constexpr std::array<std::pair<run_result, std::string_view>, 3> entries{{
        {run_result::answered, "answered"},
        {run_result::not_run, "not_run"},
        {run_result::unknown, "unknown"},
    }};
};

/** The end of a claimed request, reported by its entry host. */
struct claim_result {
    service_id service;
    idempotency_key key;
    std::uint64_t attempt = 0;
    run_result result = run_result::unknown;
    std::string reply;            ///< the target's reply, when answered; at most max_recorded_reply bytes
    bool reply_is_digest = false; ///< the reply was longer: its digest stands in its place

    bool operator==(const claim_result&) const = default;
};

/** Longest reply that is recorded whole; a longer one is recorded by its digest. */
inline constexpr std::size_t max_recorded_reply = std::size_t{16} * 1024;

/** @return the result as it is recorded: a reply that is too long is replaced by its digest */
claim_result with_bounded_reply(claim_result ended);

/** Decision on a claim. */
enum class claim_verdict {
    granted,  ///< this attempt may send it
    running,  ///< another attempt may be running it
    finished, ///< it ended; its result is in the answer
    conflict, ///< the key was claimed with other content
    expired,  ///< its time of issue is older than the retention, or lies in the future
    full,     ///< no room for a further claim at present
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
    run_result result = run_result::unknown; ///< of a finished one
    std::string reply;                       ///< of a finished one that was answered
    bool reply_is_digest = false;            ///< the reply was too long to record: its digest is given
    digest accepted_content;                 ///< of a conflict

    bool operator==(const claim_answer&) const = default;
};

} // namespace tamarack
