#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/** Another host's state as seen here. */
enum class host_state {
    alive,
    suspect, ///< did not answer probes; still used unless there are others
    dead,
    left, ///< said goodbye at a graceful shutdown
};

template <>
struct name_table<host_state> {
    static constexpr std::array<std::pair<host_state, std::string_view>, 4> entries{{
        {host_state::alive, "alive"},
        {host_state::suspect, "suspect"},
        {host_state::dead, "dead"},
        {host_state::left, "left"},
    }};
};

/** What hosts tell each other about one host. */
struct host_record {
    host_id host;
    incarnation_id incarnation; ///< of its process: a restart draws a new one, above the old
    std::uint64_t version = 0;  ///< raised by the host itself to refute a suspicion
    host_state state = host_state::alive;
    bool draining = false; ///< leaves the directory, serves until kept answers have run out
    data_center_id data_center;
    endpoint hosts_address;     ///< where other hosts reach it
    endpoint callers_address;   ///< where callers and targets reach it; empty for a pure control host
    bool control = false;       ///< takes part in the replicated log
    std::uint32_t capacity = 0; ///< of its processor, in thousandths of a core; 0 when it does not tell
    std::uint32_t load = 0;     ///< in thousandths of a core, as last told; see load_reporter

    bool operator==(const host_record&) const = default;
};

} // namespace tamarack
