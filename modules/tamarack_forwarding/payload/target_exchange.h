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
    target_id target;          ///< no other target may run it
    duration remaining_time{}; ///< the target stops working after this
    std::shared_ptr<const message_payload> payload;
};

/** What a target's reply says about its exchange. */
enum class target_verdict {
    completed,    ///< a success, with the target's own token
    failed,       ///< it ran, or may have run, and failed
    not_run,      ///< refused; the target says that it did not run
    wrong_target, ///< another target has this address; it did not run
    malformed,    ///< not the whole reply to this exchange
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

/** Load as a target reported it with a reply. */
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowness = 1.0; ///< how long work takes there at the moment; 1 is usual
};

/** A target's reply, as read from a connection. */
struct target_reply {
    target_verdict verdict = target_verdict::malformed;
    unsigned status = 0;
    message_fields fields; ///< that belong to the caller
    std::string body;
    std::string token; ///< by which the target vouches for this reply; opaque
    std::optional<target_load> load;
    bool keeps_connection = true;
    bool leaving = false;               ///< the target takes no new work in this incarnation
    std::optional<duration> backoff;    ///< it refused and wants nothing from this host for so long
    bool backoff_invalid = false;       ///< it asked for a rest of a length that makes no sense
    std::optional<duration> idle_limit; ///< the target closes the connection when it is idle for this long
};

} // namespace tamarack
