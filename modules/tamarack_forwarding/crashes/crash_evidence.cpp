#include "crash_evidence.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A crashed process refuses connections from at once until it is started again. */
constexpr duration crash_shows_within = 2s;
constexpr std::size_t targets_that_are_evidence = 2;
constexpr std::size_t most_suspects = 1'000;
constexpr std::size_t most_lost_of_a_target = 64;

} // namespace

void crash_evidence::on_exchange_lost(time_point now, const target_id& target, const digest& content) {
    forget(now);
    auto& lost = m_lost[target];
    if (lost.size() < most_lost_of_a_target) {
        lost.push_back({content, now});
    }
}

std::vector<crash_evidence::confirmed_loss> crash_evidence::on_target_unreachable(time_point now,
                                                                                  const target_id& target) {
    std::vector<confirmed_loss> found;
    const auto lost = m_lost.find(target);
    if (lost == m_lost.end()) {
        return found;
    }
    for (const lost_exchange& item : lost->second) {
        const bool known = m_suspects.contains(item.content.hex());
        if (item.at + crash_shows_within < now || (!known && m_suspects.size() >= most_suspects)) {
            continue;
        }
        const bool before = crashes_targets(now, item.content);
        suspect& suspected = m_suspects[item.content.hex()];
        suspected.lost_targets.insert(target);
        suspected.last = now;
        found.push_back(
            {item.content, suspected.lost_targets.size(), !before && crashes_targets(now, item.content)});
    }
    m_lost.erase(lost);
    return found;
}

void crash_evidence::on_told(time_point found_at, const digest& content) {
    forget(found_at);
    if (m_suspects.size() < most_suspects || m_suspects.contains(content.hex())) {
        suspect& suspected = m_suspects[content.hex()];
        suspected.told = true;
        suspected.last = std::max(suspected.last, found_at);
    }
}

bool crash_evidence::crashes_targets(time_point now, const digest& content) const {
    const auto found = m_suspects.find(content.hex());
    if (found == m_suspects.end() || found->second.last + remembered_for < now) {
        return false;
    }
    return found->second.told || found->second.lost_targets.size() >= targets_that_are_evidence;
}

std::size_t crash_evidence::targets_lost_to(const digest& content) const {
    const auto found = m_suspects.find(content.hex());
    return found == m_suspects.end() ? 0 : found->second.lost_targets.size();
}

void crash_evidence::forget(time_point now) {
    std::erase_if(m_suspects, [now](const auto& item) { return item.second.last + remembered_for < now; });
    for (auto item = m_lost.begin(); item != m_lost.end();) {
        std::erase_if(item->second,
                      [now](const lost_exchange& lost) { return lost.at + crash_shows_within < now; });
        item = item->second.empty() ? m_lost.erase(item) : std::next(item);
    }
}

} // namespace tamarack
