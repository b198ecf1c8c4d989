#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <string_view>
#include <utility>

namespace tamarack {

/** Why a server refused a request or ended a connection that did not keep to its limits. */
enum class connection_refusal {
    ended_for_memory,     ///< it held memory longest when the server ran short of it
    refused_for_memory,   ///< its request or response did not fit beside those of others
    too_many_fields,      ///< of a request's header or trailer
    too_large,            ///< a header or body beyond its limit
    malformed,            ///< not an HTTP request, or a TRACE request with a body
    too_slow,             ///< a request was not received, or a response not read, in time
    unused,               ///< it had never sent a byte when the server ran out of connections
    too_many_connections, ///< all connections were in use
};

template <>
struct name_table<connection_refusal> {
    static constexpr std::array<std::pair<connection_refusal, std::string_view>, 8> entries{{
        {connection_refusal::ended_for_memory, "ended_for_memory"},
        {connection_refusal::refused_for_memory, "refused_for_memory"},
        {connection_refusal::too_many_fields, "too_many_fields"},
        {connection_refusal::too_large, "too_large"},
        {connection_refusal::malformed, "malformed"},
        {connection_refusal::too_slow, "too_slow"},
        {connection_refusal::unused, "unused"},
        {connection_refusal::too_many_connections, "too_many_connections"},
    }};
};

} // namespace tamarack
