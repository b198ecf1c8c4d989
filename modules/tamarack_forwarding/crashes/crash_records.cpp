#include "crash_records.h"

#include <algorithm>
#include <functional>

namespace tamarack {

bool crash_records::record::is_evident() const {
    return reported_without_target || targets.size() >= targets_for_evidence;
}

bool crash_records::record::is_current(time_point now) const {
    return last + (is_evident() ? evidence_remembered_for : loss_remembered_for) >= now;
}

void crash_records::add(time_point now, const crash_loss& loss) {
    const std::string name = loss.content.hex();
    const auto existing = m_contents.find(name);
    if (existing != m_contents.end() && !existing->second.is_current(now)) {
        m_contents.erase(existing);
    }
    if (!m_contents.contains(name) && !make_room(now)) {
        return;
    }
    record& entry = m_contents[name];
    entry.last = std::max(entry.last, loss.found_at);
    if (loss.lost.target.empty()) {
        entry.reported_without_target = true;
    } else {
        entry.targets.emplace(loss.lost, loss.found_at);
    }
}

/** Evicts records if necessary. @return whether there is room for one more content */
bool crash_records::make_room(time_point now) {
    if (m_contents.size() < max_contents) {
        return true;
    }
    std::erase_if(m_contents, [now](const auto& item) { return !item.second.is_current(now); });
    if (m_contents.size() < max_contents) {
        return true;
    }
    const auto oldest = std::ranges::min_element(m_contents, std::less{}, [](const auto& item) {
        return std::pair{item.second.is_evident(), item.second.last};
    });
    if (oldest->second.is_evident()) {
        return false;
    }
    m_contents.erase(oldest);
    return true;
}

const crash_records::record* crash_records::find(time_point now, const digest& content) const {
    const auto found = m_contents.find(content.hex());
    return found != m_contents.end() && found->second.is_current(now) ? &found->second : nullptr;
}

std::size_t crash_records::targets_lost_to(time_point now, const digest& content) const {
    const record* entry = find(now, content);
    return entry == nullptr ? 0 : entry->targets.size();
}

bool crash_records::is_evident(time_point now, const digest& content) const {
    const record* entry = find(now, content);
    return entry != nullptr && entry->is_evident();
}

time_point crash_records::last_loss(const digest& content) const {
    const auto found = m_contents.find(content.hex());
    return found == m_contents.end() ? time_point{} : found->second.last;
}

std::vector<crash_loss> crash_records::losses(time_point now, std::size_t most) const {
    std::vector<std::pair<std::size_t, crash_loss>> ranked;
    for (const auto& [name, entry] : m_contents) {
        if (!entry.is_current(now)) {
            continue;
        }
        for (const auto& [target, found_at] : entry.targets) {
            ranked.emplace_back(entry.targets.size(), crash_loss{digest{name}, target, found_at});
        }
        if (entry.reported_without_target) {
            ranked.emplace_back(targets_for_evidence,
                                crash_loss{digest{name}, target_incarnation{}, entry.last});
        }
    }
    std::ranges::stable_sort(ranked, std::greater{}, [](const auto& item) { return item.first; });
    std::vector<crash_loss> losses;
    for (std::size_t index = 0; index < std::min(most, ranked.size()); ++index) {
        losses.push_back(std::move(ranked[index].second));
    }
    return losses;
}

} // namespace tamarack
