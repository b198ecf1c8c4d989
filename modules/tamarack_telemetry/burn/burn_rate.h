#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace tamarack {

/** Service-level objective: the minimum share of good requests. */
struct service_objective {
    double good_share = 0.99; ///< above 0 and below 1
};

/** Number of requests of one service within a period. */
struct request_counts {
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

/** Burn rate of the error budget over one window; at 1 the budget is used up just as its period ends. */
struct window_burn {
    duration window{};
    request_counts counts;
    double burn_rate = 0.0;
    bool complete = false; ///< false until the first request is at least as old as the window
};

/**
 * Counts good and bad requests of one service and computes burn rates over several windows.
 *
 * Keeps one bucket for each ten seconds of the longest window, so memory use does not grow with the load.
 */
class burn_meter {
public:
    /**
     * @param objective  the service-level objective
     * @param windows    lengths of the windows, each a multiple of ten seconds
     */
    burn_meter(service_objective objective, std::vector<duration> windows);

    /** Counts one finished request. Times must not go backwards. */
    void on_request(time_point now, bool good);

    /** @return the burn rate of each window that ends now, in the order given at construction */
    std::vector<window_burn> burn(time_point now) const;

private:
    struct bucket {
        time_point start;
        request_counts counts;
    };

    service_objective m_objective;
    std::vector<duration> m_windows;
    std::deque<bucket> m_buckets;
    time_point m_first_request_at{};
    bool m_started = false;
};

} // namespace tamarack
