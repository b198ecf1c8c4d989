#include "extra_load_budget.h"

#include <algorithm>

namespace tamarack {

void extra_load_budget::on_first_attempt(double earned_tokens) {
    ++m_first_attempts;
    m_tokens = std::min(m_tokens + earned_tokens, m_burst);
}

bool extra_load_budget::try_spend() {
    if (m_limited && m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    ++m_extra_attempts;
    require_invariant(m_tokens >= 0.0, "extra attempts stay within their budget");
    return true;
}

void extra_load_budget::refund() {
    m_tokens = std::min(m_tokens + 1.0, m_burst);
    --m_extra_attempts;
}

void extra_load_budget::set_burst(double burst) {
    m_burst = burst;
    m_tokens = std::min(m_tokens, m_burst);
}

} // namespace tamarack
