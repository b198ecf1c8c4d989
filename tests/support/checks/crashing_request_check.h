#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tamarack::testing_support {

/**
 * Counts what a request that crashes its targets costs: targets, and exchanges that were sent although it was
 * to be known for what it is. Not for use from several threads at once.
 */
class crashing_request_check {
public:
    /** Crashes after which the request is to be known. */
    static constexpr std::size_t crashes_to_know = 3;
    /** Time that all hosts have to learn of it. */
    static constexpr std::chrono::microseconds time_to_know = std::chrono::seconds{4};
    /** Retries that are tolerated afterwards, all hosts together. */
    static constexpr std::size_t tolerated_retries = 3;

    /** A target of a service received the request in one attempt of its caller. */
    void on_arrival(std::chrono::microseconds at, const std::string& service, const std::string& attempt) {
        const bool repeated = m_arrivals[{service, attempt}]++ > 0;
        if (m_known_at && at > *m_known_at) {
            ++m_late_arrivals;
            m_late_retries += repeated ? 1U : 0U;
        }
    }

    /** A target ended because it ran the request. */
    void on_crash(std::chrono::microseconds at) {
        if (++m_crashes == crashes_to_know) {
            m_known_at = at + time_to_know;
        }
    }

    /** @return targets that ended */
    std::size_t crashes() const { return m_crashes; }
    /** @return arrivals once the request was to be known, first exchanges of an attempt included */
    std::size_t late_arrivals() const { return m_late_arrivals; }
    /** @return arrivals beyond the first of an attempt at its service once the request was to be known */
    std::size_t late_retries() const { return m_late_retries; }

private:
    std::size_t m_crashes = 0;
    std::size_t m_late_arrivals = 0;
    std::size_t m_late_retries = 0;
    std::optional<std::chrono::microseconds> m_known_at;
    std::map<std::pair<std::string, std::string>, std::size_t> m_arrivals; ///< by service and attempt
};

} // namespace tamarack::testing_support
