#pragma once

#include "../time/time.h"

#include <cstdint>
#include <random>

namespace tamarack {

/**
 * A pseudo-random number generator that produces the same sequence for the same seed on every machine.
 *
 * Modules that contain only decision logic receive a generator as an argument; only the daemon seeds one from
 * the operating system.
 */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    /** @return the next 64-bit number */
    std::uint64_t next() { return m_engine(); }

    /**
     * @param bound  exclusive upper bound, above zero
     * @return a uniformly distributed number from 0 to bound - 1
     */
    std::uint64_t below(std::uint64_t bound);

    /** @return a uniformly distributed number from 0 up to, but not including, 1 */
    double unit();

    /**
     * @param probability  from 0 to 1
     * @return true with this probability
     */
    bool chance(double probability) { return unit() < probability; }

    /**
     * @param low   inclusive lower bound
     * @param high  inclusive upper bound, not below low
     * @return a uniformly distributed duration
     */
    duration between(duration low, duration high);

    /**
     * @param mean  above zero
     * @return an exponentially distributed duration
     */
    duration exponential(duration mean);

private:
    std::mt19937_64 m_engine;
};

} // namespace tamarack
