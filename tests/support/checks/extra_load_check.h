#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** Limit on extra exchanges (those after the first of each request), summed over all hosts. */
struct extra_load_bound {
    double ratio = 0.2;
    double allowance = 58.0;
    std::chrono::microseconds window = std::chrono::seconds{10};
};

/** A window in which a service received more extra exchanges than the bound allows. */
struct extra_load_breach {
    std::string service;
    std::chrono::microseconds begins{};
    std::size_t extra = 0;
    double allowed = 0.0;
};

/**
 * Counts the exchanges that targets receive, and finds sliding windows with more extra exchanges (those after
 * the first of each request) than the bound allows. Not thread-safe.
 */
class extra_load_check {
public:
    /** Records that a caller sent a request on a route to a service, whether or not it arrived. */
    void on_request(std::chrono::microseconds at, const std::string& service);

    /** Records that a target of a service received an exchange, even if it refused it. */
    void on_arrival(std::chrono::microseconds at, const std::string& service, const std::string& request);

    /** @return the window with the largest excess, for each service that exceeded the bound */
    std::vector<extra_load_breach> breaches(const extra_load_bound& bound) const;

    /** @return the total number of extra exchanges that a service received */
    std::size_t extra(const std::string& service) const;

private:
    struct service_counts {
        std::vector<std::chrono::microseconds> requests;
        std::vector<std::chrono::microseconds> extra;
        std::map<std::string, std::size_t> arrivals; ///< by request
    };

    std::map<std::string, service_counts> m_services;
};

} // namespace tamarack::testing_support
