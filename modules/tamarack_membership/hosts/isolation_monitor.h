#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <deque>

namespace tamarack {

/** Times and bounds of the isolation monitor. */
struct isolation_options {
    double isolated_share = 0.5;   ///< isolated when fewer than this share of recent probes were answered
    std::size_t recent_probes = 8; ///< how many probes are looked at
    std::size_t min_probes = 4;    ///< below this, nothing is concluded
    duration max_isolation_with_answers =
        15s; ///< a host that hears some others is not called isolated for longer
};

/**
 * Tells from the recent probes' results whether this host is cut off from most others.
 *
 * A host that gets no answer at all stays isolated until it gets one. A host that gets some answers belongs
 * to a smaller part of the hosts; after a while it takes the others for dead.
 */
class isolation_monitor {
public:
    explicit isolation_monitor(isolation_options options) : m_options(options) {}

    /** A probe was answered, or was not in time. */
    void on_result(time_point now, bool answered);

    bool isolated() const { return m_isolated; }

private:
    isolation_options m_options;
    std::deque<bool> m_recent;
    time_point m_isolated_since{};
    bool m_isolated = false;
};

} // namespace tamarack
