#pragma once

#include "forward_request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace tamarack {

/** Number of a connection to a target; never reused within a process. */
using target_connection = std::uint64_t;

/** One request to one target. */
struct target_exchange {
    request_id id;
    target_id target;          ///< the only target that may run it
    duration remaining_time{}; ///< after this the target stops working on it
    std::shared_ptr<const message_payload> payload;
    std::string team;            ///< that holds the caller's key; empty if none does
    bool passes_identity = true; ///< whether the caller's identity fields are passed on unchanged
};

/** What a target's reply says about its exchange. */
enum class target_verdict {
    completed,    ///< success, with the target's own token
    failed,       ///< the exchange failed after it ran or may have run
    not_run,      ///< refused: the target states that it did not run
    wrong_target, ///< another target has this address; it did not run
    malformed,    ///< not a complete reply to this exchange
};

template <>
struct name_table<target_verdict> {
    static constexpr std::array<std::pair<target_verdict, std::string_view>, 5> entries{{
        {target_verdict::completed, "completed"},
        {target_verdict::failed, "failed"},
        {target_verdict::not_run, "not_run"},
        {target_verdict::wrong_target, "wrong_target"},
        {target_verdict::malformed, "malformed"},
    }};
};

/** Why a reply is not taken for the reply to its exchange. */
enum class reply_defect {
    none,
    invalid_status, ///< its status is none of a final response: 200 to 599
    other_request,  ///< it names another request
    no_request,     ///< it names no request
    encoded,        ///< its body is encoded, which no caller asks for
    success_without_token,
};

template <>
struct name_table<reply_defect> {
    static constexpr std::array<std::pair<reply_defect, std::string_view>, 6> entries{{
        {reply_defect::none, "none"},
        {reply_defect::invalid_status, "invalid_status"},
        {reply_defect::other_request, "other_request"},
        {reply_defect::no_request, "no_request"},
        {reply_defect::encoded, "encoded"},
        {reply_defect::success_without_token, "success_without_token"},
    }};
};

/** Load of a target, as reported with a reply. */
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1.0; ///< current processing time relative to normal; 1 is normal
};

/** A target's reply, as read from a connection. */
struct target_reply {
    target_verdict verdict = target_verdict::malformed;
    reply_defect defect = reply_defect::none; ///< of a malformed reply
    request_id named_request;                 ///< of a malformed reply: the request that it names
    /** Of a failed reply: its status promises callers that the request has not run, which the target itself
     * does not state. */
    bool denies_execution = false;
    unsigned status = 0;
    message_fields fields; ///< fields to pass on to the caller
    std::string body;
    std::string token; ///< opaque proof that the reply is the target's own
    std::optional<target_load> load;
    bool keeps_connection = true;
    bool leaving = false;                     ///< the target takes no new work in this incarnation
    std::optional<duration> backoff;          ///< after a refusal: how long to send it nothing
    bool backoff_invalid = false;             ///< the requested backoff is not plausible
    std::optional<double> request_limit;      ///< requests a second that it takes from all hosts together
    bool request_limit_invalid = false;       ///< the stated limit is not a valid number
    std::optional<duration> remaining_warmup; ///< for this long, the target stays cold
    std::optional<duration> idle_limit;       ///< the target closes the connection after this idle time
};

} // namespace tamarack
