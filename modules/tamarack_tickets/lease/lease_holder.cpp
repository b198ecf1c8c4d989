#include "lease_holder.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t max_outstanding_renewals = 16;

duration shortened_by_drift(duration length, double drift) {
    const double count = static_cast<double>(length.count()) * (1.0 - drift);
    return duration{static_cast<duration::rep>(count)};
}

} // namespace

lease_holder::lease_holder(lease_options options, std::uint64_t first_number)
    : m_options(options), m_next_number(first_number) {}

std::optional<lease_renewal> lease_holder::on_timer(time_point now) {
    if (now < m_next_renewal) {
        return std::nullopt;
    }
    m_next_renewal = now + m_options.renewal;
    const std::uint64_t number = m_next_number++;
    m_sent.push_back({number, now});
    if (m_sent.size() > max_outstanding_renewals) {
        m_sent.pop_front();
    }
    return lease_renewal{number, m_serving, m_serving_epoch};
}

void lease_holder::renew_soon(time_point now) {
    m_next_renewal = std::min(m_next_renewal, now);
}

void lease_holder::end(time_point now) {
    m_sent.clear();
    m_ends_at = std::min(m_ends_at, now);
}

bool lease_holder::expects(std::uint64_t number) const {
    return find_sent(number) != m_sent.end();
}

bool lease_holder::on_grant(time_point now, const lease_grant& grant) {
    const auto sent = find_sent(grant.number);
    if (sent == m_sent.end() || grant.latest.value == 0) {
        return false;
    }
    const bool older = grant.latest < m_serving || grant.epoch < m_serving_epoch;
    if (older && m_options.protections.refuse_older_configuration) {
        return false;
    }
    m_serving = grant.latest;
    m_serving_epoch = grant.epoch;
    m_settled_epoch = std::max(m_settled_epoch, grant.settled_epoch);
    const time_point start = m_options.protections.runs_from_sending ? sent->sent_at : now;
    m_ends_at = std::max(m_ends_at, start + shortened_by_drift(m_options.length, m_options.clock_drift));
    m_sent.erase(m_sent.begin(), sent + 1);
    return true;
}

bool lease_holder::may_serve(time_point now) const {
    if (!m_options.protections.expire) {
        return m_serving.value > 0;
    }
    return now < m_ends_at;
}

time_point lease_holder::ends_at() const {
    return m_ends_at;
}

time_point lease_holder::next_timer() const {
    return m_next_renewal;
}

std::deque<lease_holder::sent_renewal>::const_iterator lease_holder::find_sent(std::uint64_t number) const {
    return std::find_if(m_sent.begin(), m_sent.end(),
                        [number](const sent_renewal& sent) { return sent.number == number; });
}

} // namespace tamarack
