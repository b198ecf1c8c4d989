#include "waiting_list.h"

#include <utility>

namespace tamarack {

void waiting_list::charge(waiting_part& part) {
    if (part.work > 0.0) {
        part.start_tag = m_queues[part.priority].start(part.team, part.work);
    }
}

void waiting_list::on_sent(const waiting_part& part) {
    if (part.work > 0.0) {
        m_queues[part.priority].on_served(part.start_tag);
    }
}

void waiting_list::insert(waiting_part part) {
    const order key{part.priority, part.start_tag, part.objective_at};
    const auto is_later = [&](const waiting_part& other) {
        return key < order{other.priority, other.start_tag, other.objective_at};
    };
    auto first = m_entries.begin();
    for (; first != m_entries.end() && !first->place; ++first) {
        if (is_later(first->part)) {
            m_entries.insert(first, {std::move(part), std::nullopt});
            return;
        }
    }
    const auto later = m_sorted.upper_bound(key);
    const auto before = later == m_sorted.end() ? m_entries.end() : later->second;
    const auto added = m_entries.insert(before, {std::move(part), std::nullopt});
    added->place = m_sorted.emplace_hint(later, key, added);
}

waiting_list::position waiting_list::erase_sent(position at) {
    on_sent(*at);
    return erase(at);
}

waiting_list::position waiting_list::erase_withdrawn(position at) {
    if (at->work > 0.0) {
        m_queues[at->priority].on_withdrawn(at->team, at->work);
    }
    return erase(at);
}

waiting_list::position waiting_list::erase(position at) {
    if (at.m_at->place) {
        m_sorted.erase(*at.m_at->place);
    }
    return position{m_entries.erase(at.m_at)};
}

} // namespace tamarack
