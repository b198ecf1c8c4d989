#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <optional>

namespace tamarack {

/** What one exchange showed about the targets on one side: in this host's data centre, or outside it. */
struct locality_sample {
    bool late = false;          ///< it took too long, was refused, failed or was lost
    double relative_time = 0.0; ///< its time divided by the time after which an exchange is late
    std::optional<double> load; ///< running and waiting exchanges per slot, as its target reported
};

/**
 * Time-decayed means of what exchanges showed about the targets of one service on one side.
 *
 * A mean covers at least the last dozen exchanges and at least the last second. A pause of a single target,
 * which delays a few exchanges, thus moves it little, whatever the rate of exchanges.
 */
class observed_side {
public:
    void observe(time_point now, const locality_sample& sample);

    /** @return whether the latest exchange is recent enough for the means to describe the present */
    bool is_known(time_point now) const;
    /** @return share of late exchanges, 0 to 1 */
    double late() const { return m_late; }
    /** @return mean relative time */
    double relative_time() const { return m_relative_time; }
    /** @return mean load per slot, or `otherwise` if the targets report none */
    double load_or(double otherwise) const { return m_load.value_or(otherwise); }
    /** @return number of exchanges observed so far */
    std::uint64_t count() const { return m_count; }

private:
    double m_late = 0.0;
    double m_relative_time = 0.0;
    std::optional<double> m_load;
    time_point m_at{};
    std::uint64_t m_count = 0;
};

} // namespace tamarack
