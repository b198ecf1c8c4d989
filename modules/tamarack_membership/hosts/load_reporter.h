#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <optional>

namespace tamarack {

/**
 * Decides when a host reports its processor use to the others.
 *
 * Load pattern: the load of each of many hosts varies from second to second, and each report goes to all
 * hosts. Therefore only lasting changes of sufficient size are reported.
 */
class load_reporter {
public:
    /** @param capacity  of this host, in thousandths of a core; 0 if unknown: nothing is reported then */
    explicit load_reporter(std::uint32_t capacity) : m_capacity(capacity) {}

    /**
     * Records the processor time that the process has used so far. Call it about once a second.
     *
     * @return the load to report, in thousandths of a core, or nothing
     */
    std::optional<std::uint32_t> observe(time_point now, duration used);

private:
    std::uint32_t m_capacity;
    std::optional<duration> m_used;
    double m_average = 0.0; ///< moving average, in thousandths of a core
    std::uint32_t m_reported = 0;
    time_point m_read_at{};
    time_point m_reported_at{};
};

} // namespace tamarack
