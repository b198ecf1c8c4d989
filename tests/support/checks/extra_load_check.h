#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** The bound on exchanges beyond the first of each request, of all hosts together. */
struct extra_load_bound {
    double ratio = 0.2;
    double allowance = 58.0;
    std::chrono::microseconds window = std::chrono::seconds{10};
};

/** A window in which a service got more repeats than the bound allows. */
struct extra_load_breach {
    std::string service;
    std::chrono::microseconds begins{};
    std::size_t extra = 0;
    double allowed = 0.0;
};

/**
 * Counts what targets receive, and finds sliding windows with more arrivals beyond the first of each request
 * than the bound allows. Not for use from several threads at once.
 */
class extra_load_check {
public:
    /** A caller sent a request on a route to a service; whether it arrived does not matter. */
    void on_request(std::chrono::microseconds at, const std::string& service);

    /** A target of a service received an exchange, and may have refused it. */
    void on_arrival(std::chrono::microseconds at, const std::string& service, const std::string& request);

    /** @return the window furthest beyond the bound, of each service that has one */
    std::vector<extra_load_breach> breaches(const extra_load_bound& bound) const;

    /** @return repeats that a service got in all */
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
