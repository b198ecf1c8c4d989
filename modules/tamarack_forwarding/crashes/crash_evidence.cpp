#include "crash_evidence.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A target that crashed is started again and announces itself within some seconds. */
constexpr duration restart_shows_within = 15s;
constexpr std::size_t targets_that_stop_it = 3;
constexpr std::size_t max_losses_per_target = 64;

} // namespace

void crash_evidence::on_exchange_lost(time_point now, const target_incarnation& target,
                                      const endpoint& address, const digest& content, exchange_end how) {
    forget_losses(now);
    open_losses& losses = m_losses[target];
    losses.address = address;
    losses.checked = false;
    if (losses.exchanges.size() < max_losses_per_target) {
        losses.exchanges.push_back({content, how, now});
    }
}

bool crash_evidence::awaits_check(const target_incarnation& target) const {
    const auto found = m_losses.find(target);
    return found != m_losses.end() && !found->second.checked;
}

void crash_evidence::on_check_started(const target_incarnation& target) {
    const auto found = m_losses.find(target);
    if (found != m_losses.end()) {
        found->second.checked = true;
    }
}

std::vector<crash_evidence::confirmed_loss>
crash_evidence::on_target_unreachable(time_point now, const target_incarnation& target) {
    std::vector<confirmed_loss> found;
    const auto losses = m_losses.find(target);
    if (losses != m_losses.end()) {
        confirm(now, target, losses->second, crash_shows_within, found);
        m_losses.erase(losses);
    }
    return found;
}

void crash_evidence::on_target_reachable(const target_incarnation& target, time_point opening_began) {
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
crash_evidence::on_address_taken(time_point now, const endpoint& address, const target_incarnation& target) {
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

void crash_evidence::confirm(time_point now, const target_incarnation& target, const open_losses& losses,
                             duration within, std::vector<confirmed_loss>& found) {
    for (const lost_exchange& item : losses.exchanges) {
        if (item.at + within < now) {
            continue;
        }
        const bool before = crashes_targets(now, item.content);
        const crash_loss loss{item.content, target, now};
        m_records.add(now, loss);
        found.push_back(
            {loss, targets_lost_to(now, item.content), !before && crashes_targets(now, item.content)});
        m_untold.push_back({loss, now + told_after});
    }
}

void crash_evidence::on_completed(const digest& content) {
    m_records.clear(content);
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        std::erase_if(item->second.exchanges,
                      [&content](const lost_exchange& lost) { return lost.content == content; });
        item = item->second.exchanges.empty() ? m_losses.erase(item) : std::next(item);
    }
}

std::vector<crash_loss> crash_evidence::take_untold(time_point now) {
    std::erase_if(m_untold, [this, now](const untold_loss& item) {
        return targets_lost_to(now, item.loss.content) == 0;
    });
    if (next_untold() > now) {
        return {};
    }
    // What is known to have cost most targets goes first: many losses may be of requests that crash nothing.
    const auto waits =
        std::ranges::find_if(m_untold, [now](const untold_loss& item) { return item.due > now; });
    std::stable_sort(m_untold.begin(), waits, [this, now](const untold_loss& left, const untold_loss& right) {
        return targets_lost_to(now, left.loss.content) > targets_lost_to(now, right.loss.content);
    });
    const auto due = static_cast<std::size_t>(waits - m_untold.begin());
    std::vector<crash_loss> taken;
    for (std::size_t index = 0; index < std::min(due, max_reported_at_once); ++index) {
        taken.push_back(m_untold[index].loss);
    }
    m_untold.erase(m_untold.begin(), m_untold.begin() + static_cast<std::ptrdiff_t>(taken.size()));
    m_told_until = now + told_every;
    return taken;
}

time_point crash_evidence::next_untold() const {
    return m_untold.empty() ? time_point::max() : std::max(m_untold.front().due, m_told_until);
}

duration crash_evidence::refused_still(time_point now, const digest& content) const {
    if (targets_lost_to(now, content) < targets_that_stop_it) {
        return duration{0};
    }
    return std::max(m_records.last_loss(content) + refused_for - now, duration{0});
}

crash_verdict crash_evidence::judge(time_point now, const digest& content) const {
    if (refused_still(now, content) > duration{0}) {
        return crash_verdict::refused;
    }
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
    const bool unexplained = targets_lost_to(now, content) + static_cast<std::size_t>(unchecked) >=
                             crash_records::targets_that_are_evidence;
    return unexplained ? crash_verdict::unexplained : crash_verdict::clear;
}

void crash_evidence::forget_losses(time_point now) {
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        std::erase_if(item->second.exchanges,
                      [now](const lost_exchange& lost) { return lost.at + restart_shows_within < now; });
        item = item->second.exchanges.empty() ? m_losses.erase(item) : std::next(item);
    }
}

} // namespace tamarack
