#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/**
 * Bounds hedges and retries to a fraction of first attempts, in every window of time.
 *
 * Each first attempt earns a fraction of a token, each extra attempt spends a whole one; tokens beyond the
 * burst are lost. So in any window the extra attempts are at most fraction * first attempts + burst.
 */
class extra_load_budget {
public:
    /**
     * @param burst    most tokens that are kept
     * @param limited  whether an empty budget refuses; switched off only by tests
     */
    extra_load_budget(double burst, bool limited) : m_burst(burst), m_tokens(burst), m_limited(limited) {}

    /** @param earned_tokens  fraction of a token */
    void on_first_attempt(double earned_tokens);
    /** @return whether an extra attempt may be sent now; it is then counted */
    bool try_spend();
    /** Gives a token back: the extra attempt was not sent. */
    void refund();
    /** @param burst  most tokens that are kept from now on */
    void set_burst(double burst);

    std::uint64_t first_attempts() const { return m_first_attempts; }
    std::uint64_t extra_attempts() const { return m_extra_attempts; }

private:
    double m_burst;
    double m_tokens;
    bool m_limited;
    std::uint64_t m_first_attempts = 0;
    std::uint64_t m_extra_attempts = 0;
};

} // namespace tamarack
