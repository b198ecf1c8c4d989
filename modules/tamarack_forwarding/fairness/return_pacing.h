#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/** Inputs for the retry delay of a refused request. */
struct return_request {
    duration capacity_in{}; ///< time until capacity is expected to be free, greater than 0
    duration interval{};    ///< time in which this host's share of the capacity completes one request
    duration useful_for{};  ///< longest delay that the caller honours
};

/**
 * Spreads the return of the callers that a service refused.
 *
 * Load pattern: half of the hosts are gone, and all of their callers come back to the others at once. Most of
 * them are refused within a few milliseconds, with about the same retry delay, so that they would return in
 * one wave and be refused again. Each caller is told a time of its own instead, as capacity becomes free: at
 * the rate at which exchanges were completed lately, or that of this host's share of the targets if that is
 * higher.
 */
class return_pacing {
public:
    /** A target completed an exchange of this host. */
    void on_completed(time_point now);
    /** @return the delay to send to the caller: as without pacing if no other was refused lately */
    duration next(time_point now, const return_request& refused, random_source& random);

private:
    void roll_window(time_point now);

    time_point m_next_return{};
    time_point m_window_since{};
    std::uint32_t m_completed = 0;         ///< since m_window_since
    std::uint32_t m_completed_in_last = 0; ///< in the window before
};

} // namespace tamarack
