#include "withdrawn_attempts.h"

namespace tamarack {

void withdrawn_attempts::add(const attempt_id& attempt, wall_time expires_at) {
    if (!m_expiries.emplace(attempt, expires_at).second) {
        return;
    }
    m_by_expiry.emplace(expires_at, attempt);
    while (m_expiries.size() > m_limit) {
        drop_earliest_expiry();
    }
}

void withdrawn_attempts::forget_expired(wall_time now) {
    while (!m_by_expiry.empty() && m_by_expiry.begin()->first < now) {
        drop_earliest_expiry();
    }
}

void withdrawn_attempts::clear() {
    m_expiries.clear();
    m_by_expiry.clear();
}

void withdrawn_attempts::drop_earliest_expiry() {
    m_expiries.erase(m_by_expiry.begin()->second);
    m_by_expiry.erase(m_by_expiry.begin());
}

} // namespace tamarack
