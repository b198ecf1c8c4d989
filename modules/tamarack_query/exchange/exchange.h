#pragma once

#include "../request/caller_request.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarack {

/** Number of an exchange (one request to one target). Never reused within a process. */
using exchange_number = std::uint64_t;
/** Number of a connection to a target. Never reused within a process. */
using connection_number = std::uint64_t;

/** One request sent to one target. */
struct exchange {
    exchange_number number = 0;
    request_number request = 0;
    request_id caller_id;
    service_id service;
    shard_id shard;
    index_version version;
    std::shared_ptr<const std::string> body;
    time_point deadline;
    idempotency_key key; ///< empty for an idempotent request
};

/** How an exchange ended, according to the target's reply. */
enum class exchange_status {
    completed,    ///< the body holds the shard's part
    shed,         ///< refused because of load; not run
    draining,     ///< refused because the target is draining; not run
    version_gone, ///< the target does not hold the index version; not run
    cancelled,    ///< cancelled by this host or stopped at its deadline; it may have run in part
    failed,       ///< it ran and failed
    malformed,    ///< the reply can't be decoded, or belongs to another exchange, shard or version
};

template <>
struct name_table<exchange_status> {
    static constexpr std::array<std::pair<exchange_status, std::string_view>, 7> entries{{
        {exchange_status::completed, "completed"},
        {exchange_status::shed, "shed"},
        {exchange_status::draining, "draining"},
        {exchange_status::version_gone, "version_gone"},
        {exchange_status::cancelled, "cancelled"},
        {exchange_status::failed, "failed"},
        {exchange_status::malformed, "malformed"},
    }};
};

/** A target's reply, as read from a connection. */
struct exchange_reply {
    exchange_number number = 0; ///< exchange number, as returned by the target
    exchange_status status = exchange_status::malformed;
    shard_id shard;
    index_version version;
    std::string body;
    std::uint32_t reported_load = 0;
    duration retry_after{};       ///< set if shed
    bool ends_connection = false; ///< the connection can't carry another exchange
};

} // namespace tamarack
