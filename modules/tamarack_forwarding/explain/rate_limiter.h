#pragma once

#include <tamarack_base/tamarack_base.h>

#include <algorithm>

namespace tamarack {

/** Token bucket: allows an operation at a limited rate, with bursts after a pause. */
class rate_limiter {
public:
    /**
     * @param per_second  rate at which the bucket fills
     * @param burst       its capacity; it starts empty and fills before the first use
     */
    constexpr rate_limiter(double per_second, double burst) : m_per_second(per_second), m_burst(burst) {}

    /** Takes a token if one is available. @return whether the operation is allowed now */
    bool take(time_point now) {
        const double passed = std::chrono::duration<double>(now - m_filled_at).count();
        m_available = std::min(m_burst, m_available + passed * m_per_second);
        m_filled_at = now;
        if (m_available < 1.0) {
            return false;
        }
        m_available -= 1.0;
        return true;
    }

private:
    double m_per_second;
    double m_burst;
    double m_available = 0.0;
    time_point m_filled_at{};
};

} // namespace tamarack
