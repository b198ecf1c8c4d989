#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <optional>

namespace tamarack {

/**
 * Decides when a host tells the others how much of its processor it uses.
 *
 * Load pattern: load that varies from second to second on each of many hosts; each figure told goes to all of
 * them, so that only lasting changes of some size are told.
 */
class load_reporter {
public:
    /** @param capacity  of this host, in thousandths of a core; 0 when unknown: nothing is told then */
    explicit load_reporter(std::uint32_t capacity) : m_capacity(capacity) {}

    /**
     * Takes a reading of the processor time that the process has used. Call it about once a second.
     *
     * @return the load to tell, in thousandths of a core, or nothing
     */
    std::optional<std::uint32_t> observe(time_point now, duration used);

private:
    std::uint32_t m_capacity;
    std::optional<duration> m_used;
    double m_average = 0.0; ///< thousandths of a core
    std::uint32_t m_reported = 0;
    time_point m_read_at{};
    time_point m_reported_at{};
};

} // namespace tamarack
