#include "crash_suspicion_confirmations.h"

#include <utility>

namespace tamarack {

namespace {

constexpr duration confirmation_timeout = 100ms;

} // namespace

std::uint64_t crash_suspicion_confirmations::begin(time_point now, std::set<host_id> hosts,
                                                   std::function<void()> done) {
    const std::uint64_t number = m_next_number++;
    if (hosts.empty()) {
        done();
        return number;
    }
    m_pending[number] = pending_confirmation{std::move(hosts), std::move(done), now + confirmation_timeout};
    return number;
}

void crash_suspicion_confirmations::on_confirmation(std::uint64_t number, const host_id& host) {
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    found->second.unconfirmed.erase(host);
    if (!found->second.unconfirmed.empty()) {
        return;
    }
    const auto done = std::move(found->second.done);
    m_pending.erase(found);
    done();
}

void crash_suspicion_confirmations::on_timer(time_point now) {
    while (!m_pending.empty() && m_pending.begin()->second.ends_at <= now) {
        const auto done = std::move(m_pending.begin()->second.done);
        m_pending.erase(m_pending.begin());
        done();
    }
}

time_point crash_suspicion_confirmations::next_timer() const {
    return m_pending.empty() ? time_point::max() : m_pending.begin()->second.ends_at;
}

} // namespace tamarack
