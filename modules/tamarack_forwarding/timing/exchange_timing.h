#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/**
 * Follows the median and a high percentile of the time that exchanges of one route take.
 *
 * Each observation moves the estimates by a fixed share up or down, so that a pause of a target, however
 * long, counts as one observation. Needs no memory of the past.
 */
class exchange_timing {
public:
    /** @param objective  of the route; the estimates start from a share of it */
    explicit exchange_timing(duration objective);

    void observe(duration taken);

    duration median() const { return to_duration(m_median); }
    /** @return the time that one exchange in ten exceeds */
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
