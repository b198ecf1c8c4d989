#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tamarack::testing_support {

/**
 * Counts the damage done by a request that crashes its targets: crashed targets, and exchanges sent after all
 * hosts should have recognised the request. Not thread-safe.
 */
class crashing_request_check {
public:
    /** Number of crashes after which the hosts must recognise the request. */
    static constexpr std::size_t crashes_to_know = 3;
    /** Time within which all hosts must learn of it. */
    static constexpr std::chrono::microseconds time_to_know = std::chrono::seconds{4};
    /** Number of later retries that are tolerated, summed over all hosts. */
    static constexpr std::size_t tolerated_retries = 3;

    /** Records that a target of a service received the request during one attempt of its caller. */
    void on_arrival(std::chrono::microseconds at, const std::string& service, const std::string& attempt) {
        const bool repeated = m_arrivals[{service, attempt}]++ > 0;
        if (m_known_at && at > *m_known_at) {
            ++m_late_arrivals;
            m_late_retries += repeated ? 1U : 0U;
        }
    }

    /** Records that a target crashed because it ran the request. */
    void on_crash(std::chrono::microseconds at) {
        if (++m_crashes == crashes_to_know) {
            m_known_at = at + time_to_know;
        }
    }

    /** @return number of crashed targets */
    std::size_t crashes() const { return m_crashes; }
    /** @return arrivals after the hosts had to recognise the request, including the first of each attempt */
    std::size_t late_arrivals() const { return m_late_arrivals; }
    /** @return arrivals after the hosts had to recognise the request, excluding each attempt's first at a
     * service */
    std::size_t late_retries() const { return m_late_retries; }

private:
    std::size_t m_crashes = 0;
    std::size_t m_late_arrivals = 0;
    std::size_t m_late_retries = 0;
    std::optional<std::chrono::microseconds> m_known_at;
    std::map<std::pair<std::string, std::string>, std::size_t> m_arrivals; ///< by service and attempt
};

} // namespace tamarack::testing_support
