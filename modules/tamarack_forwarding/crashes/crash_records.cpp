#include "crash_records.h"

#include <algorithm>
#include <functional>

namespace tamarack {

bool crash_records::record::is_evident() const {
    return found_elsewhere || targets.size() >= targets_that_are_evidence;
}

bool crash_records::record::counts(time_point now) const {
    return last + (is_evident() ? evidence_remembered_for : loss_remembered_for) >= now;
}

void crash_records::add(time_point now, const crash_loss& loss) {
    const std::string name = loss.content.hex();
    const auto known = m_contents.find(name);
    if (known != m_contents.end() && !known->second.counts(now)) {
        m_contents.erase(known);
    }
    if (!m_contents.contains(name) && !make_room(now)) {
        return;
    }
    record& kept = m_contents[name];
    kept.last = std::max(kept.last, loss.found_at);
    if (loss.lost.target.empty()) {
        kept.found_elsewhere = true;
    } else {
        kept.targets.emplace(loss.lost, loss.found_at);
    }
}

/** @return whether there is room for one more content */
bool crash_records::make_room(time_point now) {
    if (m_contents.size() < max_contents) {
        return true;
    }
    std::erase_if(m_contents, [now](const auto& item) { return !item.second.counts(now); });
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
    return found != m_contents.end() && found->second.counts(now) ? &found->second : nullptr;
}

std::size_t crash_records::targets_lost_to(time_point now, const digest& content) const {
    const record* kept = find(now, content);
    return kept == nullptr ? 0 : kept->targets.size();
}

bool crash_records::is_evident(time_point now, const digest& content) const {
    const record* kept = find(now, content);
    return kept != nullptr && kept->is_evident();
}

time_point crash_records::last_loss(const digest& content) const {
    const auto found = m_contents.find(content.hex());
    return found == m_contents.end() ? time_point{} : found->second.last;
}

std::vector<crash_loss> crash_records::losses(time_point now, std::size_t most) const {
    std::vector<std::pair<std::size_t, crash_loss>> ranked;
    for (const auto& [name, kept] : m_contents) {
        if (!kept.counts(now)) {
            continue;
        }
        for (const auto& [target, found_at] : kept.targets) {
            ranked.emplace_back(kept.targets.size(), crash_loss{digest{name}, target, found_at});
        }
        if (kept.found_elsewhere) {
            ranked.emplace_back(targets_that_are_evidence,
                                crash_loss{digest{name}, target_incarnation{}, kept.last});
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
