#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** A window in which a target received more requests than the limit that it had stated allows. */
struct request_limit_breach {
    std::string target;
    std::chrono::microseconds ends{};
    std::size_t received = 0;
    double allowed = 0.0;
};

/**
 * Counts the requests that targets receive while they state a limit, from hosts that have been told, and
 * finds sliding windows with more of them than 1.5 times the limit and 5 more. Not thread-safe.
 */
class request_limit_check {
public:
    /** Records that a target stated its limit in a reply to a host. @param per_second  the limit */
    void on_stated(std::chrono::microseconds at, const std::string& target, std::size_t host,
                   double per_second);
    /** Records that a target no longer states a limit. */
    void on_lifted(const std::string& target);
    /** Records that a host has started again: what its predecessor was told does not count against it. */
    void on_host_restarted(std::size_t host);
    /** Records that a target received a request from a host. */
    void on_arrival(std::chrono::microseconds at, const std::string& target, std::size_t host);

    /** @return the window with the largest excess, for each period of a limit that was exceeded */
    std::vector<request_limit_breach> breaches() const;

private:
    using moment = std::chrono::microseconds;

    struct period {
        std::string target;
        moment begins{};
        bool ended = false;
        std::map<moment, double> limits;    ///< by the time at which they were stated
        std::map<std::size_t, moment> told; ///< by host
        std::vector<moment> arrivals;       ///< from hosts that had been told
    };

    period* current(const std::string& target);
    static double limit_within(const period& stated, moment begins, moment ends);

    std::vector<period> m_periods;
};

} // namespace tamarack::testing_support
