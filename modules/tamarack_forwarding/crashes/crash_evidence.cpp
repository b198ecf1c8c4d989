#include "crash_evidence.h"

#include <algorithm>

namespace tamarack {

namespace {

/** A crashed target is restarted and announces itself within some seconds. */
constexpr duration max_restart_time = 15s;
constexpr std::size_t targets_to_refuse = 3;
constexpr std::size_t max_losses_per_target = 64;

} // namespace

void crash_evidence::on_exchange_lost(time_point now, const target_incarnation& target,
                                      const endpoint& address, const digest& content, loss_cause cause) {
    remove_expired_losses(now);
    unconfirmed_losses& losses = m_losses[target];
    losses.address = address;
    losses.check_started = false;
    if (losses.exchanges.size() < max_losses_per_target) {
        losses.exchanges.push_back({content, cause, now});
    }
}

bool crash_evidence::awaits_check(const target_incarnation& target) const {
    const auto found = m_losses.find(target);
    return found != m_losses.end() && !found->second.check_started;
}

void crash_evidence::on_check_started(const target_incarnation& target) {
    const auto found = m_losses.find(target);
    if (found != m_losses.end()) {
        found->second.check_started = true;
    }
}

std::vector<crash_evidence::confirmed_loss>
crash_evidence::on_target_unreachable(time_point now, const target_incarnation& target) {
    std::vector<confirmed_loss> found;
    const auto losses = m_losses.find(target);
    if (losses != m_losses.end()) {
        confirm(now, target, losses->second, max_check_time, found);
        m_losses.erase(losses);
    }
    return found;
}

void crash_evidence::on_target_reachable(const target_incarnation& target, time_point opening_began) {
    const auto found = m_losses.find(target);
    if (found == m_losses.end()) {
        return;
    }
    // A target that left an exchange unanswered may have been restarted in the meantime.
    std::erase_if(found->second.exchanges, [opening_began](const lost_exchange& lost) {
        return lost.cause == loss_cause::connection_lost && lost.at <= opening_began;
    });
    if (found->second.exchanges.empty()) {
        m_losses.erase(found);
    }
}

std::vector<crash_evidence::confirmed_loss>
crash_evidence::on_target_announced(time_point now, const endpoint& address,
                                    const target_incarnation& target) {
    std::vector<confirmed_loss> found;
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        if (item->second.address != address || item->first == target) {
            ++item;
            continue;
        }
        confirm(now, item->first, item->second, max_restart_time, found);
        item = m_losses.erase(item);
    }
    return found;
}

void crash_evidence::confirm(time_point now, const target_incarnation& target,
                             const unconfirmed_losses& losses, duration within,
                             std::vector<confirmed_loss>& found) {
    for (const lost_exchange& item : losses.exchanges) {
        if (item.at + within < now) {
            continue;
        }
        const bool before = crashes_targets(now, item.content);
        const crash_loss loss{item.content, target, now};
        m_records.add(now, loss);
        found.push_back(
            {loss, targets_lost_to(now, item.content), !before && crashes_targets(now, item.content)});
        m_pending_reports.push_back({loss, now + report_delay});
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

std::vector<crash_loss> crash_evidence::take_due_reports(time_point now) {
    std::erase_if(m_pending_reports, [this, now](const pending_report& item) {
        return targets_lost_to(now, item.loss.content) == 0;
    });
    if (next_report_at() > now) {
        return {};
    }
    // The contents with the most lost targets are reported first, because many losses may belong to
    // harmless requests.
    const auto waits =
        std::ranges::find_if(m_pending_reports, [now](const pending_report& item) { return item.due > now; });
    std::stable_sort(m_pending_reports.begin(), waits,
                     [this, now](const pending_report& left, const pending_report& right) {
                         return targets_lost_to(now, left.loss.content) >
                                targets_lost_to(now, right.loss.content);
                     });
    const auto due = static_cast<std::size_t>(waits - m_pending_reports.begin());
    std::vector<crash_loss> taken;
    for (std::size_t index = 0; index < std::min(due, max_reported_at_once); ++index) {
        taken.push_back(m_pending_reports[index].loss);
    }
    m_pending_reports.erase(m_pending_reports.begin(),
                            m_pending_reports.begin() + static_cast<std::ptrdiff_t>(taken.size()));
    m_no_report_before = now + report_interval;
    return taken;
}

time_point crash_evidence::next_report_at() const {
    return m_pending_reports.empty() ? time_point::max()
                                     : std::max(m_pending_reports.front().due, m_no_report_before);
}

duration crash_evidence::remaining_refusal(time_point now, const digest& content) const {
    if (targets_lost_to(now, content) < targets_to_refuse) {
        return duration{0};
    }
    return std::max(m_records.last_loss(content) + refusal_time - now, duration{0});
}

crash_verdict crash_evidence::judge(time_point now, const digest& content) const {
    if (remaining_refusal(now, content) > duration{0}) {
        return crash_verdict::refused;
    }
    if (crashes_targets(now, content)) {
        return crash_verdict::crashes_targets;
    }
    const auto is_unconfirmed = [&](const lost_exchange& lost) {
        return lost.content == content && lost.cause == loss_cause::connection_lost &&
               lost.at + max_check_time >= now;
    };
    const auto unconfirmed = std::count_if(m_losses.begin(), m_losses.end(), [&](const auto& item) {
        return std::any_of(item.second.exchanges.begin(), item.second.exchanges.end(), is_unconfirmed);
    });
    const bool is_suspected = targets_lost_to(now, content) + static_cast<std::size_t>(unconfirmed) >=
                              crash_records::targets_for_evidence;
    return is_suspected ? crash_verdict::unconfirmed : crash_verdict::clear;
}

void crash_evidence::remove_expired_losses(time_point now) {
    for (auto item = m_losses.begin(); item != m_losses.end();) {
        std::erase_if(item->second.exchanges,
                      [now](const lost_exchange& lost) { return lost.at + max_restart_time < now; });
        item = item->second.exchanges.empty() ? m_losses.erase(item) : std::next(item);
    }
}

} // namespace tamarack
