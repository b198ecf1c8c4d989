#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarack {

/** Bounds on a service's extra exchanges (those beyond the first of each request), for all hosts together. */
struct extra_budget_limits {
    double ratio = 0.2;      ///< extra exchanges per request in a window
    double allowance = 50.0; ///< extra exchanges in a window in addition, independent of the load
    duration window = 10s;
};

/** Counts within one window. */
struct extra_load_counts {
    std::uint32_t requests = 0;
    std::uint32_t extra_exchanges = 0; ///< including open charges
};

/**
 * One host's share of a service's budget for hedges and retries, in any sliding window.
 *
 * Load pattern: periodic pauses of targets make hedges worthwhile all the time, and bursts of failed replies
 * make retries worthwhile for seconds; together they must not multiply the load. Each host applies the ratio
 * to its own requests; allowance_share divides the allowance.
 *
 * The bound of a window is based on the requests of that window, of the preceding window, or of the window
 * that began half a window earlier, whichever has the most. An extra exchange must fit into every window that
 * can contain it. These are the window that ends now, for which only its own requests count, and all windows
 * that began after that one and have not ended, of which only the requests received so far are known.
 *
 * This assumes that the requests this host sees are representative of all hosts. While load moves from one
 * host to another, hosts may count requests of different windows.
 */
class extra_budget {
public:
    /** @param began  start of the counting */
    explicit extra_budget(extra_budget_limits limits, time_point began = {})
        : m_limits(limits), m_began(began) {}

    /** Counts a request, that is, its first exchange with this service. */
    void on_request(time_point now);

    /**
     * Opens a charge for one extra exchange. An open charge counts in every window.
     *
     * @param allowance_part  fraction of the allowance that this host may spend
     * @return false if the budget does not allow the exchange
     */
    bool try_open(time_point now, double allowance_part);
    /** Closes a charge after its exchange has certainly reached the target. */
    void close(time_point now);
    /** Cancels a charge whose exchange was not sent and will not be. */
    void cancel();

    /** @return extra exchanges that are allowed now */
    double available(time_point now, double allowance_part);

    /** @return counts of the window that ends now */
    extra_load_counts within_window(time_point now);

    /** @return whether there were no requests and no extra exchanges in the window that ends now */
    bool idle(time_point now);

    time_point began() const { return m_began; }

private:
    static constexpr std::int64_t slices_in_window = 20;
    /** Two windows (the one that ends now and the one before it) and the current slice. */
    static constexpr std::size_t slices = 2 * slices_in_window + 1;
    struct slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t extra_exchanges = 0;
    };

    slice& current(time_point now);
    /** Prefix sums over the slices in chronological order: element N is the sum over the first N slices. */
    struct prefix_sums {
        std::array<std::uint32_t, slices + 1> requests{};
        std::array<std::uint32_t, slices + 1> extra_exchanges{};
    };
    prefix_sums compute_prefix_sums(time_point now);

    extra_budget_limits m_limits;
    time_point m_began;
    std::uint32_t m_open = 0;
    std::array<slice, slices> m_slices{};
};

} // namespace tamarack
