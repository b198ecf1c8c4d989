#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>

namespace tamarack {

/**
 * Token bucket that limits hedges and retries to a fraction of first attempts, in every time window.
 *
 * Each first attempt earns a fraction of a token, each extra attempt spends a whole one. Tokens beyond the
 * burst are discarded. In any window there are thus at most fraction * first attempts + burst extra attempts.
 */
class extra_load_budget {
public:
    /**
     * @param burst    maximum number of tokens
     * @param limited  whether an empty budget refuses extra attempts; only tests switch this off
     */
    extra_load_budget(double burst, bool limited) : m_burst(burst), m_tokens(burst), m_limited(limited) {}

    /** Counts a first attempt. @param earned_tokens  fraction of a token that it earns */
    void on_first_attempt(double earned_tokens);
    /** Spends a token, if there is one. @return whether an extra attempt may be sent now */
    bool try_spend();
    /** Returns a token whose extra attempt was not sent. */
    void refund();
    /** @param burst  the new maximum number of tokens */
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
