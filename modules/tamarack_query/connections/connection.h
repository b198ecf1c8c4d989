#pragma once

#include "../quarantine/crash_detector.h"
#include "../targets/attempt_kind.h"
#include "../targets/replica.h"

namespace tamarack {

/** Current use of a connection. */
enum class connection_state {
    dialing,
    idle,
    busy,      ///< runs an exchange whose reply is awaited
    abandoned, ///< runs a cancelled exchange whose reply will be ignored
    probing,   ///< being probed for liveness
};

/** The exchange that a connection carries. */
struct carried_exchange {
    exchange_number number = 0;
    request_number request = 0;
    std::size_t shard_index = 0;
    shard_id shard;
    index_version version;
    time_point sent_at{};
    time_point deadline{};
    attempt_kind kind = attempt_kind::first;
    request_content content;
    bool content_unproven = false; ///< no target had completed the content when it was sent
};

/** One connection to a target. */
struct connection {
    connection_number number = 0;
    replica_pointer target;
    connection_state state = connection_state::dialing;
    time_point opened_at{};
    time_point last_received_at{}; ///< when data was last received on it
    carried_exchange carried;
    request_number request_after_probe = 0; ///< the request to send after the probe; 0 if there is none
    time_point abandoned_at{};              ///< when its exchange was abandoned
};

} // namespace tamarack
