#include "connection_budget.h"

#include <iterator>

namespace tamarack {

namespace {

constexpr std::size_t large_part_numerator = 7;
constexpr std::size_t large_part_denominator = 8;

/** @return the first connection of a list other than the given one, or nullptr */
budget_holder* first_other(budget_holder_list& list, const budget_holder& self) {
    for (budget_holder& listed : list) {
        if (&listed != &self) {
            return &listed;
        }
    }
    return nullptr;
}

} // namespace

void connection_budget::begin(budget_holder& holder, time_point now) {
    leave_list(holder);
    holder.m_since = now;
    (is_large(holder.m_bytes) ? m_large : m_small).push_back(holder);
}

bool connection_budget::resize(budget_holder& holder, std::size_t bytes, time_point now) {
    if (bytes > holder.m_bytes) {
        while (!fits(holder, bytes)) {
            budget_holder* const victim = find_victim(holder, is_large(bytes), now);
            if (victim == nullptr) {
                return false;
            }
            release(*victim);
            m_end(*victim);
        }
    }
    store(holder, bytes);
    return true;
}

void connection_budget::release(budget_holder& holder) {
    store(holder, 0);
    leave_list(holder);
}

bool connection_budget::fits(const budget_holder& holder, std::size_t bytes) const {
    if (m_held - holder.m_bytes + bytes > m_limit) {
        return false;
    }
    if (!is_large(bytes)) {
        return true;
    }
    const std::size_t others = m_held_by_large - (is_large(holder.m_bytes) ? holder.m_bytes : 0);
    return others + bytes <= m_limit / large_part_denominator * large_part_numerator;
}

budget_holder* connection_budget::find_victim(const budget_holder& holder, bool for_large, time_point now) {
    for (budget_holder_list* list : {&m_large, &m_small}) {
        budget_holder* const oldest = first_other(*list, holder);
        if (oldest != nullptr && (!for_large || oldest->m_since + grace <= now)) {
            return oldest;
        }
    }
    return nullptr;
}

/** Connections grow soon after their start, so the position is near the end. */
void connection_budget::insert_large(budget_holder& holder) {
    auto position = m_large.end();
    while (position != m_large.begin() && std::prev(position)->m_since > holder.m_since) {
        --position;
    }
    m_large.insert(position, holder);
}

void connection_budget::store(budget_holder& holder, std::size_t bytes) {
    const bool was_large = is_large(holder.m_bytes);
    const bool becomes_large = !was_large && is_large(bytes);
    m_held = m_held - holder.m_bytes + bytes;
    m_held_by_large = m_held_by_large - (was_large ? holder.m_bytes : 0) + (is_large(bytes) ? bytes : 0);
    holder.m_bytes = bytes;
    if (becomes_large && holder.is_linked()) {
        holder.unlink();
        insert_large(holder);
    }
}

} // namespace tamarack
