#pragma once

#include <tamarack_base/tamarack_base.h>

#include <algorithm>

namespace tamarack {

/** Allows something so many times a second, and a burst of it after a pause. */
class rate_limiter {
public:
    /**
     * @param per_second  how fast the allowance grows
     * @param burst       most of it; it begins with none and fills before the first use
     */
    constexpr rate_limiter(double per_second, double burst) : m_per_second(per_second), m_burst(burst) {}

    /** @return whether once more is allowed now; it is then taken */
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
