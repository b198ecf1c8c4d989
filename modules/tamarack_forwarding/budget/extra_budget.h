#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarack {

/** Bounds on exchanges beyond the first of each request to a service, of all hosts together. */
struct extra_budget_limits {
    double ratio = 0.2;      ///< of the requests in a window
    double allowance = 50.0; ///< further exchanges in a window, whatever the load
    duration window = 10s;
};

/** What happened within a window. */
struct extra_load_counts {
    std::uint32_t requests = 0;
    std::uint32_t extra_exchanges = 0; ///< exchanges beyond the first of a request, open charges included
};

/**
 * One host's share of a service's budget for hedges and retries, in any sliding window.
 *
 * Load pattern: periodic pauses of targets make hedges pay all the time, and replies that fail in numbers
 * make retries pay for seconds; both must not add up to a multiple of the load. The ratio is kept by each
 * host for the requests that it has itself; allowance_share divides the allowance.
 *
 * A window's bound counts the requests of that window, of the one before it or of the one half a window
 * before it, whichever has most. A repeat must fit into every window that it can lie in: the one that ends
 * now, for which only its own requests are counted, and all that have begun since, of which no more than the
 * present requests is known yet.
 *
 * Watch out: what this host sees stands for what all see. While load moves from one host to another, the
 * hosts may count requests of different windows.
 */
class extra_budget {
public:
    /** @param began  since when this record counts */
    explicit extra_budget(extra_budget_limits limits, time_point began = {})
        : m_limits(limits), m_began(began) {}

    /** A request's first exchange to this service. */
    void on_request(time_point now);

    /**
     * Opens a charge for one further exchange: until it is closed it counts in each window.
     *
     * @param allowance_part  fraction of the allowance that this host may spend
     * @return whether it is allowed
     */
    bool try_open(time_point now, double allowance_part);
    /** The exchange of an open charge has reached its target by now. */
    void close(time_point now);
    /** The exchange of an open charge was not sent and won't be. */
    void cancel();

    /** @return further exchanges that are allowed now */
    double available(time_point now, double allowance_part);

    /** @return what happened within the window that ends now */
    extra_load_counts within_window(time_point now);

    /** @return whether nothing happened within the window that ends now */
    bool idle(time_point now);

    time_point began() const { return m_began; }

private:
    static constexpr std::int64_t slices_in_window = 20;
    /** The window that begins first among those that end now, the window before it, and what is running. */
    static constexpr std::size_t slices = 2 * slices_in_window + 1;
    struct slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t extra_exchanges = 0;
    };

    slice& current(time_point now);
    /** Sums over the slices in order of time; the sum of none comes first, that of all last. */
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
