#include "crash_notices.h"

#include <algorithm>
#include <functional>

namespace tamarack {

namespace {

/** The engine remembers as many contents. */
constexpr std::size_t most_notices = 1'000;
/** Each host tells a newcomer: at 300 hosts it gets some 150 bytes for each of them and each loss, 1.5 MB. */
constexpr std::size_t most_told = 32;

bool counts(time_point found_at, time_point now) {
    return found_at + crash_evidence::evidence_remembered_for >= now;
}

} // namespace

void crash_notices::add(time_point now, const crash_loss& loss) {
    std::erase_if(m_found_at, [now](const auto& item) { return !counts(item.second, now); });
    if (m_found_at.size() >= most_notices) {
        return;
    }
    time_point& found_at = m_found_at.try_emplace({loss.content, loss.lost}, loss.found_at).first->second;
    found_at = std::max(found_at, loss.found_at);
}

std::vector<crash_loss> crash_notices::current(time_point now) const {
    std::vector<crash_loss> losses;
    std::map<digest, std::size_t> targets;
    for (const auto& [key, found_at] : m_found_at) {
        if (counts(found_at, now)) {
            losses.push_back({key.first, key.second, found_at});
            ++targets[key.first];
        }
    }
    std::ranges::stable_sort(losses, std::greater{},
                             [&targets](const crash_loss& loss) { return targets.at(loss.content); });
    losses.resize(std::min(losses.size(), most_told));
    return losses;
}

} // namespace tamarack
