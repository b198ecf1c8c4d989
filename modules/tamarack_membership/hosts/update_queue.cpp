#include "update_queue.h"

#include <algorithm>

namespace tamarack {

void update_queue::add(const topic& about, std::size_t copies, time_point expires_at,
                       std::optional<update_scope> push) {
    if (copies > 0) {
        m_pending[about] = {copies, expires_at};
    }
    if (!push) {
        return;
    }
    const auto [scope, is_new] = m_scopes.try_emplace(about, *push);
    scope->second = std::max(scope->second, *push);
    if (is_new) {
        m_unpushed.push_back(about);
    }
}

std::vector<update_queue::topic> update_queue::take_for_probe(time_point now, std::size_t max_count) {
    std::erase_if(m_pending, [&](const auto& item) { return item.second.expires_at <= now; });
    using counted = std::pair<std::size_t, topic>;
    std::vector<counted> candidates;
    candidates.reserve(m_pending.size());
    for (const auto& [about, pending] : m_pending) {
        candidates.emplace_back(pending.copies_left, about);
    }
    const std::size_t taken = std::min(max_count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                      candidates.end(),
                      [](const counted& left, const counted& right) { return left.first > right.first; });
    std::vector<topic> topics;
    for (std::size_t index = 0; index < taken; ++index) {
        topics.push_back(candidates[index].second);
        count_copy(topics.back());
    }
    return topics;
}

void update_queue::count_copy(const topic& about) {
    const auto found = m_pending.find(about);
    if (found->second.copies_left <= 1) {
        m_pending.erase(found);
    } else {
        --found->second.copies_left;
    }
}

std::vector<update_queue::pushed_topic> update_queue::take_for_push(std::size_t max_count) {
    const std::size_t taken = std::min(max_count, m_unpushed.size());
    std::vector<pushed_topic> topics;
    for (std::size_t index = 0; index < taken; ++index) {
        const auto scope = m_scopes.find(m_unpushed[index]);
        topics.push_back({m_unpushed[index], scope->second});
        m_scopes.erase(scope);
    }
    m_unpushed.erase(m_unpushed.begin(), m_unpushed.begin() + static_cast<std::ptrdiff_t>(taken));
    return topics;
}

} // namespace tamarack
