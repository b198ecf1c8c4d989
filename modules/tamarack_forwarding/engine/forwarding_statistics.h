#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarack {

/** Counters of the engine since its start, and gauges of its current state. */
struct forwarding_statistics {
    std::uint64_t requests = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t first_near = 0; ///< first exchanges sent to targets in this data centre
    std::uint64_t first_far = 0;  ///< first exchanges sent to targets in other data centres
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused_by_budget = 0; ///< extra exchanges
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_failed = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t gave_way = 0; ///< requests refused because their team was above its share
    std::size_t running = 0;    ///< requests without an answer
    std::size_t waiting = 0;    ///< exchanges that wait for a connection
    std::size_t connections = 0;
    std::size_t timers = 0; ///< scheduled items
    std::size_t unread = 0; ///< exchanges closed without a reply whose charges are still open
};

} // namespace tamarack
