#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/**
 * Estimates the median and the 90th percentile of the time that exchanges of one route take.
 *
 * Each observation moves the estimates up or down by a fixed share, so that a pause of a target counts as one
 * observation, however long it is. Keeps no history.
 */
class exchange_timing {
public:
    /** @param objective  objective of the route, from which the initial estimates are derived */
    explicit exchange_timing(duration objective);

    void observe(duration taken);

    duration median() const { return to_duration(m_median); }
    /** @return 90th percentile: the time that one exchange in ten exceeds */
    duration p90() const { return to_duration(m_p90); }
    std::uint64_t observations() const { return m_observations; }

private:
    static duration to_duration(double microseconds) {
        return duration{static_cast<std::int64_t>(microseconds)};
    }

    double m_median;
    double m_p90;
    std::uint64_t m_observations = 0;
};

} // namespace tamarack
