#pragma once

#include "../quarantine/crash_detector.h"
#include "../targets/attempt_kind.h"
#include "../targets/replica.h"

namespace tamarack {

/** What a connection is used for at present. */
enum class connection_state {
    dialing,
    idle,
    busy,      ///< an exchange runs on it whose reply is wanted
    abandoned, ///< an exchange runs on it whose reply is no longer wanted
    probing,   ///< it is proven live for an exchange that is sent once
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
    bool content_unproven = false; ///< the content was not completed before
};

/** One connection to a target. */
struct connection {
    connection_number number = 0;
    replica_pointer target;
    connection_state state = connection_state::dialing;
    time_point opened_at{};
    time_point last_received_at{}; ///< when a byte last came from it
    carried_exchange carried;
    request_number probed_for = 0;
    time_point abandoned_at{}; ///< when its exchange was cancelled
};

} // namespace tamarack
