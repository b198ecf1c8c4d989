#include "crash_notices.h"

#include <tamarack_forwarding/tamarack_forwarding.h>

#include <algorithm>

namespace tamarack {

namespace {

/** Bounds what a newcomer is sent; the engine remembers as many contents. */
constexpr std::size_t most_notices = 1'000;

bool counts(const crash_notice& notice, time_point now) {
    return notice.found_at + crash_evidence::remembered_for >= now;
}

} // namespace

void crash_notices::add(time_point now, const crash_notice& notice) {
    std::erase_if(m_notices, [now](const auto& item) { return !counts(item.second, now); });
    if (m_notices.size() >= most_notices) {
        return;
    }
    crash_notice& known = m_notices.try_emplace(notice.content.hex(), notice).first->second;
    known.found_at = std::max(known.found_at, notice.found_at);
}

std::vector<crash_notice> crash_notices::current(time_point now) const {
    std::vector<crash_notice> notices;
    for (const auto& [text, notice] : m_notices) {
        if (counts(notice, now)) {
            notices.push_back(notice);
        }
    }
    return notices;
}

} // namespace tamarack
