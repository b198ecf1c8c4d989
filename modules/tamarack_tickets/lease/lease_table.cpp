#include "lease_table.h"

#include <algorithm>

namespace tamarack {

namespace {

duration lengthened_by_drift(duration length, double drift) {
    const double count = static_cast<double>(length.count()) * (1.0 + drift);
    return duration{static_cast<duration::rep>(count) + 1};
}

void erase_expired(std::map<std::uint64_t, time_point>& ends, time_point now) {
    std::erase_if(ends, [now](const auto& item) { return item.second <= now; });
}

} // namespace

lease_table::lease_table(lease_options options, time_point now)
    : m_options(options), m_predecessors_end(now + lengthened_by_drift(options.length, options.clock_drift)) {
}

void lease_table::skip_predecessor_wait() {
    m_predecessors_end = time_point{};
}

void lease_table::on_renewal(time_point now, const host_id& host, incarnation_id incarnation,
                             const lease_renewal& renewal, const lease_grant& granted) {
    const time_point end = now + lengthened_by_drift(m_options.length, m_options.clock_drift);
    holder_entry& entry = m_entries[{host, incarnation}];
    entry.record.host = host;
    entry.record.incarnation = incarnation;
    entry.record.ends_at = std::max(entry.record.ends_at, end);
    entry.record.acknowledged = std::max(entry.record.acknowledged, renewal.serving);
    entry.record.acknowledged_epoch = std::max(entry.record.acknowledged_epoch, renewal.serving_epoch);
    erase_expired(entry.ticket_ends, now);
    erase_expired(entry.epoch_ends, now);
    entry.ticket_ends[granted.latest.value] = end;
    entry.epoch_ends[granted.epoch] = end;
}

void lease_table::on_release(const host_id& host, incarnation_id incarnation) {
    m_entries.erase({host, incarnation});
}

template <typename Acknowledged, typename Ends>
rollout_status lease_table::state_of(time_point now, std::uint64_t number, Acknowledged acknowledged,
                                     Ends ends) const {
    rollout_status state;
    state.in_force_by = now;
    if (now < m_predecessors_end) {
        state.in_force_by = m_predecessors_end;
    }
    for (const auto& [key, entry] : m_entries) {
        time_point older_grants_end = now;
        for (const auto& [granted, end] : ends(entry)) {
            older_grants_end = granted < number ? std::max(older_grants_end, end) : older_grants_end;
        }
        if (acknowledged(entry) < number && older_grants_end > now) {
            state.waiting_for.push_back(entry.record.host);
            state.in_force_by = std::max(state.in_force_by, older_grants_end);
        }
    }
    state.in_force = state.waiting_for.empty() && now >= m_predecessors_end;
    return state;
}

rollout_status lease_table::ticket_state(time_point now, ticket_number number) const {
    return state_of(
        now, number.value, [](const holder_entry& entry) { return entry.record.acknowledged.value; },
        [](const holder_entry& entry) -> const ends_by_number& { return entry.ticket_ends; });
}

rollout_status lease_table::epoch_state(time_point now, std::uint64_t epoch) const {
    return state_of(
        now, epoch, [](const holder_entry& entry) { return entry.record.acknowledged_epoch; },
        [](const holder_entry& entry) -> const ends_by_number& { return entry.epoch_ends; });
}

bool lease_table::may_hold(time_point now, const host_id& host, incarnation_id incarnation) const {
    if (now < m_predecessors_end) {
        return true;
    }
    const auto found = m_entries.find({host, incarnation});
    return found != m_entries.end() && found->second.record.ends_at > now;
}

std::vector<lease_record> lease_table::holders(time_point now) const {
    std::vector<lease_record> result;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.ends_at > now) {
            result.push_back(entry.record);
        }
    }
    return result;
}

void lease_table::remove_expired(time_point now) {
    std::erase_if(m_entries, [now](const auto& item) { return item.second.record.ends_at <= now; });
}

} // namespace tamarack
