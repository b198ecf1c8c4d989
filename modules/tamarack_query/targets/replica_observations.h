#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/**
 * Latency and errors of one target as observed by this host.
 *
 * Observations decay with age, so that a target that was slow or failing is tried again.
 */
class replica_observations {
public:
    /** A reply arrived, or its exchange was abandoned, after `elapsed`. */
    void on_latency(time_point now, duration elapsed);
    /** An exchange failed, or its connection broke. */
    void on_failure(time_point now);
    /** An exchange was completed. */
    void on_success(time_point now);

    /**
     * @param now       the time
     * @param expected  latency assumed in the absence of recent observations
     * @return the decaying mean of the latency
     */
    duration latency(time_point now, duration expected) const;

    /** @return the decaying share of failures, from 0 to 1 */
    double error_share(time_point now) const;

    /** @return the number of failures since the last success */
    std::uint32_t failures_in_row() const { return m_failures_in_row; }
    /** @return when the last failure was observed */
    time_point last_failure() const { return m_failed_at; }

private:
    double m_latency_us = 0;
    double m_latency_weight = 0;
    time_point m_latency_at{};
    double m_failures = 0;
    double m_outcomes = 0;
    time_point m_outcome_at{};
    std::uint32_t m_failures_in_row = 0;
    time_point m_failed_at{};

    void on_outcome(time_point now, double failure);
};

} // namespace tamarack
