#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/** Another host's state as seen by this host. */
enum class host_state {
    alive,
    suspect, ///< did not answer probes; still used, but hosts that are alive are preferred
    dead,
    left, ///< announced its graceful shutdown
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

/** The information that hosts exchange about one host. */
struct host_record {
    host_id host;
    incarnation_id incarnation; ///< of its process; each restart has a higher one than the process before
    std::uint64_t version = 0;  ///< increased by the host itself, also to refute a suspicion
    host_state state = host_state::alive;
    bool draining = false; ///< no longer listed in the directory; keeps serving until cached directory
                           ///< answers have expired
    data_center_id data_center;
    endpoint hosts_address;     ///< address for other hosts
    endpoint callers_address;   ///< address for callers and targets; empty for a pure control host
    bool control = false;       ///< takes part in the replicated log
    std::uint32_t capacity = 0; ///< of its processor, in thousandths of a core; 0 if not reported
    std::uint32_t load = 0;     ///< in thousandths of a core, as last reported; see load_reporter

    bool operator==(const host_record&) const = default;
};

} // namespace tamarack
