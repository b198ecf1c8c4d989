#pragma once

#include <chrono>
#include <cstdint>

namespace tamarack::fault_proxy {

/** Faults that the proxy injects into the traffic of one route. */
struct proxy_faults {
    std::chrono::milliseconds delay{}; ///< added to each chunk of data, in both directions
    bool refuse = false;               ///< closes new connections at once
    bool swallow_new = false;          ///< accepts new connections without connecting to the server
    bool cut_requests = false;         ///< discards data from the client to the server
    bool cut_replies = false;          ///< discards data from the server to the client
    std::uint64_t silent_up_to = 0;    ///< connections numbered up to this one forward nothing
};

} // namespace tamarack::fault_proxy
