#include "lease_manager.h"

#include <algorithm>
#include <utility>

namespace tamarack {

lease_manager::lease_manager(const control_options& options, time_point now)
    : m_batch_delay(options.read_batch_delay), m_lease_table(options.leases, now) {}

void lease_manager::on_renewal(time_point now, renew_lease renewal) {
    if (m_waiting.empty()) {
        m_first_waiting_since = now;
    }
    const auto earlier = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const renew_lease& waiting) {
        return waiting.from == renewal.from && waiting.incarnation == renewal.incarnation;
    });
    if (earlier == m_waiting.end()) {
        m_waiting.push_back(std::move(renewal));
    } else if (earlier->renewal.number < renewal.renewal.number) {
        *earlier = std::move(renewal);
    }
}

void lease_manager::on_release(const release_lease& released) {
    m_lease_table.on_release(released.from, released.incarnation);
    const auto contact = m_contacts.find(released.from);
    if (contact != m_contacts.end() && contact->second.incarnation == released.incarnation) {
        m_contacts.erase(contact);
    }
}

bool lease_manager::read_is_due(time_point now) const {
    return now >= next_timer();
}

void lease_manager::on_read_started(std::uint64_t read) {
    m_read_in_flight = read;
    m_covered_by_read = std::exchange(m_waiting, {});
}

std::vector<renew_lease> lease_manager::on_read_confirmed(std::uint64_t read) {
    if (m_read_in_flight != read) {
        return {};
    }
    m_read_in_flight.reset();
    return std::exchange(m_covered_by_read, {});
}

std::vector<renew_lease> lease_manager::remove_all() {
    m_read_in_flight.reset();
    std::vector<renew_lease> result = std::exchange(m_covered_by_read, {});
    for (auto& renewal : m_waiting) {
        result.push_back(std::move(renewal));
    }
    m_waiting.clear();
    return result;
}

void lease_manager::on_granted(time_point now, const renew_lease& renewal, const lease_grant& grant) {
    m_lease_table.on_renewal(now, renewal.from, renewal.incarnation, renewal.renewal, grant);
    m_contacts[renewal.from] = {renewal.reply_to, renewal.data_center, renewal.serves_callers,
                                renewal.draining, renewal.incarnation};
}

void lease_manager::remove_expired(time_point now) {
    m_lease_table.remove_expired(now);
    std::erase_if(m_contacts, [this, now](const auto& item) {
        return now >= m_lease_table.predecessors_end() &&
               !m_lease_table.may_hold(now, item.first, item.second.incarnation);
    });
}

time_point lease_manager::next_timer() const {
    if (m_read_in_flight || m_waiting.empty()) {
        return time_point::max();
    }
    return m_first_waiting_since + m_batch_delay;
}

} // namespace tamarack
