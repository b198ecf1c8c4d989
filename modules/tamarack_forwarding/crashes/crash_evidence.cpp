#include "crash_evidence.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A target that crashed is started again and announces itself within some seconds. */
constexpr duration restart_shows_within = 15s;
constexpr std::size_t targets_that_are_evidence = 2;
constexpr std::size_t most_suspects = 1'000;
constexpr std::size_t most_lost_of_a_target = 64;

} // namespace

void crash_evidence::on_exchange_lost(time_point now, const target_life& target, const endpoint& address,
                                      const digest& content, exchange_end how) {
    forget(now);
    open_losses& losses = m_losses[target];
    losses.address = address;
    losses.checked = false;
    if (losses.exchanges.size() < most_lost_of_a_target) {
        losses.exchanges.push_back({content, how, now});
    }
}

bool crash_evidence::awaits_check(const target_life& target) const {
    const auto found = m_losses.find(target);
    return found != m_losses.end() && !found->second.checked;
}

void crash_evidence::on_check_started(const target_life& target) {
    const auto found = m_losses.find(target);
    if (found != m_losses.end()) {
        found->second.checked = true;
    }
}

std::vector<crash_evidence::confirmed_loss> crash_evidence::on_target_unreachable(time_point now,
                                                                                  const target_life& target) {
    std::vector<confirmed_loss> found;
    const auto losses = m_losses.find(target);
    if (losses != m_losses.end()) {
        confirm(now, target, losses->second, crash_shows_within, found);
        m_losses.erase(losses);
    }
    return found;
}

void crash_evidence::on_target_reachable(const target_life& target, time_point opening_began) {
    const auto found = m_losses.find(target);
    if (found == m_losses.end()) {
        return;
    }
    // A target that left an exchange unanswered may have been started again meanwhile.
    std::erase_if(found->second.exchanges, [opening_began](const lost_exchange& lost) {
        return lost.how == exchange_end::connection_lost && lost.at <= opening_began;
    });
    if (found->second.exchanges.empty()) {
        m_losses.erase(found);
    }
}

std::vector<crash_evidence::confirmed_loss>
crash_evidence::on_address_taken(time_point now, const endpoint& address, const target_life& target) {
    std::vector<confirmed_loss> found;
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        if (item->second.address != address || item->first == target) {
            ++item;
            continue;
        }
        confirm(now, item->first, item->second, restart_shows_within, found);
        item = m_losses.erase(item);
    }
    return found;
}

void crash_evidence::confirm(time_point now, const target_life& target, const open_losses& losses,
                             duration within, std::vector<confirmed_loss>& found) {
    for (const lost_exchange& item : losses.exchanges) {
        const bool known = m_suspects.contains(item.content.hex());
        if (item.at + within < now || (!known && m_suspects.size() >= most_suspects)) {
            continue;
        }
        const bool before = crashes_targets(now, item.content);
        suspect& suspected = m_suspects[item.content.hex()];
        suspected.lost_targets.insert(target);
        suspected.last = now;
        found.push_back({item.content, target, suspected.lost_targets.size(),
                         !before && crashes_targets(now, item.content)});
    }
}

void crash_evidence::on_completed(const digest& content) {
    m_suspects.erase(content.hex());
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        std::erase_if(item->second.exchanges,
                      [&content](const lost_exchange& lost) { return lost.content == content; });
        item = item->second.exchanges.empty() ? m_losses.erase(item) : std::next(item);
    }
}

void crash_evidence::on_told(time_point found_at, const digest& content) {
    forget(found_at);
    if (m_suspects.size() < most_suspects || m_suspects.contains(content.hex())) {
        suspect& suspected = m_suspects[content.hex()];
        suspected.told = true;
        suspected.last = std::max(suspected.last, found_at);
    }
}

crash_verdict crash_evidence::judge(time_point now, const digest& content) const {
    if (crashes_targets(now, content)) {
        return crash_verdict::crashes_targets;
    }
    const auto is_unchecked = [&](const lost_exchange& lost) {
        return lost.content == content && lost.how == exchange_end::connection_lost &&
               lost.at + crash_shows_within >= now;
    };
    const auto unchecked = std::count_if(m_losses.begin(), m_losses.end(), [&](const auto& item) {
        return std::any_of(item.second.exchanges.begin(), item.second.exchanges.end(), is_unchecked);
    });
    const bool unexplained =
        targets_lost_to(content) + static_cast<std::size_t>(unchecked) >= targets_that_are_evidence;
    return unexplained ? crash_verdict::unexplained : crash_verdict::clear;
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
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        std::erase_if(item->second.exchanges,
                      [now](const lost_exchange& lost) { return lost.at + restart_shows_within < now; });
        item = item->second.exchanges.empty() ? m_losses.erase(item) : std::next(item);
    }
}

} // namespace tamarack
