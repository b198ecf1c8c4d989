#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <deque>

namespace tamarack {

/** Thresholds of the isolation monitor. */
struct isolation_options {
    double isolated_share = 0.5;   ///< this host is isolated if a smaller share of recent probes was answered
    std::size_t recent_probes = 8; ///< number of recent probes that are evaluated
    std::size_t min_probes = 4;    ///< with fewer probes, no conclusion is drawn
    duration max_isolation_with_answers =
        15s; ///< a host that receives some answers is considered isolated for at most this long
};

/**
 * Determines from the results of recent probes whether this host is cut off from most others.
 *
 * A host that receives no answers at all stays isolated until it receives one. A host that receives some
 * answers belongs to a minority group of hosts; after a while it stops being isolated and declares the
 * other hosts dead.
 */
class isolation_monitor {
public:
    explicit isolation_monitor(isolation_options options) : m_options(options) {}

    /** Records whether a probe was answered in time. */
    void on_result(time_point now, bool answered);

    bool isolated() const { return m_isolated; }

private:
    isolation_options m_options;
    std::deque<bool> m_recent;
    time_point m_isolated_since{};
    bool m_isolated = false;
};

} // namespace tamarack
