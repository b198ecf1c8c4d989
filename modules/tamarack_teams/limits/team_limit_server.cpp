#include "team_limit_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

using seconds = std::chrono::duration<double>;

/** The use is averaged over this time. */
constexpr double use_seconds = 2.0;
/** A team becomes metered above this part of its rate, and open again below the lower one. */
constexpr double metered_above = 0.5;
constexpr double open_below = 0.4;
/** A team becomes metered below this part of a full bucket, and open again above the higher one. */
constexpr double metered_below_level = 0.5;
constexpr double open_above_level = 0.75;
/** Shortest time in a state before a team becomes open again. */
constexpr duration min_metered_time = 1s;
/** Announcements to this many hosts may take a millisecond of the leader's processor. */
constexpr duration announcement_time_per_host = 1ms;
constexpr duration min_announcement_interval = 100ms;
constexpr duration presence_review_interval = 100ms;
/** Refused callers don't come back after this time. */
constexpr duration max_promise = 2s;
/** Hosts that lose contact admit a part of the slack; this multiple of it is charged to the bucket, which
 * leaves room for it in the bound although the server notices the loss late. */
constexpr double slack_part_without_contact = 2.0;
/** Part of the slack with which the buckets of a new server start: by then, its predecessor has granted
 * nothing for some seconds, and callers within their limit shouldn't be refused until the buckets have
 * filled. */
constexpr double initial_slack_part = 0.25;
/** Full buckets without use are forgotten at this interval. */
constexpr duration sweep_interval = 10s;
/** Below this use, in requests a second, a team with a full bucket is forgotten. */
constexpr double negligible_use = 0.01;
constexpr std::size_t max_changes = 100;

/** A part of the slack lets teams within their rate send somewhat uneven bursts. */
double capacity_of(const team_limit& limit) {
    return std::max(limit.burst, 1.0) + limit.slack() / 8.0;
}

duration to_duration(double value) {
    return std::chrono::duration_cast<duration>(seconds{value});
}

} // namespace

void team_limit_server::set_limits(time_point now, const std::vector<team_limit>& limits) {
    m_limits.clear();
    for (const team_limit& limit : limits) {
        if (limit.per_second > 0.0) {
            m_limits[limit.team] = limit;
        }
    }
    std::erase_if(m_buckets, [this](const auto& item) { return !m_limits.contains(item.first); });
    for (auto& [team, held] : m_buckets) {
        refill(now, held);
        held.limit = m_limits.at(team);
        held.level = std::min(held.level, capacity_of(held.limit) - held.outstanding);
        held.promised = std::min(held.promised, now + max_promise);
        review(now, held);
    }
}

team_limit_server::bucket* team_limit_server::find(time_point now, team_number team) {
    const auto limit = m_limits.find(team);
    if (limit == m_limits.end()) {
        return nullptr;
    }
    const auto [found, is_new] = m_buckets.try_emplace(team);
    bucket& held = found->second;
    if (is_new) {
        // Buckets start with a few tokens of the slack, and fill while they are unused.
        held.limit = limit->second;
        held.level = std::min(capacity_of(held.limit) / 2.0, initial_slack_part * held.limit.slack());
        held.updated = m_ready_at;
        held.changed = m_ready_at;
        refill(now, held);
        held.metered = held.level < metered_below_level * capacity_of(held.limit);
    }
    return &held;
}

void team_limit_server::refill(time_point now, bucket& held) const {
    const double passed = std::max(seconds{now - held.updated}.count(), 0.0);
    held.updated = std::max(now, held.updated);
    while (!held.reservations.empty() && held.reservations.front().until <= now) {
        held.outstanding -= held.reservations.front().tokens;
        held.reservations.pop_front();
    }
    const double capacity = capacity_of(held.limit) - held.outstanding;
    held.level = std::max(
        held.level, std::min(capacity, held.level + passed * held.limit.per_second * m_part_in_contact));
    held.use *= std::exp(-passed / use_seconds);
}

/** Ends the reservation of tokens that a host has used. */
void team_limit_server::spend(bucket& held, const host_id& host, std::uint32_t tokens) const {
    for (reservation& reserved : held.reservations) {
        if (reserved.host == host) {
            const std::uint32_t used = std::min(reserved.tokens, tokens);
            reserved.tokens -= used;
            tokens -= used;
            held.outstanding -= used;
        }
    }
    while (!held.reservations.empty() && held.reservations.front().tokens == 0) {
        held.reservations.pop_front();
    }
}

void team_limit_server::review(time_point now, bucket& held) {
    const double full = capacity_of(held.limit);
    const double rate = held.limit.per_second;
    const double level = held.level + held.outstanding;
    const bool metered = held.metered ? held.use > open_below * rate || level < open_above_level * full ||
                                            now < held.changed + min_metered_time
                                      : held.use > metered_above * rate || level < metered_below_level * full;
    if (metered == held.metered) {
        return;
    }
    held.metered = metered;
    held.changed = now;
    if (metered) {
        m_to_announce[held.limit.team] = true;
    } else {
        m_to_announce.erase(held.limit.team);
    }
    if (m_changes.size() < max_changes) {
        m_changes.push_back({held.limit.team, metered, held.use, held.level});
    }
}

void team_limit_server::review_presence(time_point now) {
    if (now < m_presence_reviewed + presence_review_interval) {
        return;
    }
    m_presence_reviewed = now;
    std::erase_if(m_presence,
                  [now](const auto& item) { return item.second.heard + silence_forgotten_after <= now; });
    if (now >= m_swept + sweep_interval) {
        m_swept = now;
        for (auto item = m_buckets.begin(); item != m_buckets.end();) {
            bucket& held = item->second;
            refill(now, held);
            review(now, held);
            const bool idle =
                !held.metered && held.use < negligible_use && held.level >= capacity_of(held.limit);
            item = idle ? m_buckets.erase(item) : std::next(item);
        }
    }
    const auto present = std::ranges::count_if(
        m_presence, [now](const auto& item) { return item.second.attached_until > now; });
    const std::size_t known = std::max({m_hosts, m_presence.size(), std::size_t{1}});
    // The time before the change counts with the previous part.
    const double part =
        static_cast<double>(std::max<std::ptrdiff_t>(present, 1)) / static_cast<double>(known);
    if (part != m_part_in_contact) {
        const double lost = std::max(m_part_in_contact - part, 0.0);
        for (auto& [team, held] : m_buckets) {
            refill(now, held);
            held.level -= lost * slack_part_without_contact * held.limit.slack();
            review(now, held);
        }
        m_part_in_contact = part;
    }
}

std::optional<team_grant> team_limit_server::on_use(time_point now, const team_use& report) {
    if (now < m_ready_at) {
        return std::nullopt;
    }
    presence& host = m_presence[report.host];
    host.heard = now;
    if (report.attached) {
        host.attached_until = now + contact_time;
    }
    review_presence(now);
    team_grant grant{m_term, report.sequence, token_validity, {}};
    for (const team_use_item& item : report.items) {
        bucket* held = find(now, item.team);
        if (held == nullptr) {
            grant.items.push_back({item.team, false, item.wanted, duration{0}});
            continue;
        }
        refill(now, *held);
        spend(*held, report.host, item.spent);
        held->level -= item.admitted;
        // Refused requests count too: while they are refused, the bucket fills, and the team would be opened.
        held->use += (item.admitted + item.spent + item.refused) / use_seconds;
        review(now, *held);
        if (held->metered && !item.metered && item.admitted > 0) {
            // The announcement was lost, or hosts have come into contact since: others may not know either.
            m_to_announce[item.team] = true;
        }
        const team_grant_item answered = answer(now, *held, report.host, item);
        if (held->metered || item.metered || item.wanted > 0) {
            grant.items.push_back(answered);
        }
    }
    return grant;
}

team_grant_item team_limit_server::answer(time_point now, bucket& held, const host_id& host,
                                          const team_use_item& item) {
    team_grant_item result{item.team, held.metered, 0, duration{0}};
    const double available = std::max(std::floor(held.level), 0.0);
    result.tokens = static_cast<std::uint32_t>(std::min(available, static_cast<double>(item.wanted)));
    if (result.tokens > 0) {
        held.level -= result.tokens;
        held.outstanding += result.tokens;
        held.reservations.push_back({now + token_validity + token_margin, host, result.tokens});
    }
    const std::uint32_t missing = item.wanted - result.tokens;
    if (missing > 0) {
        const double rate = held.limit.per_second * std::max(m_part_in_contact, 0.01);
        const time_point first = now + to_duration(std::min((1.0 - held.level) / rate, 60.0));
        held.promised = std::max(held.promised, first);
        result.until_tokens = held.promised - now;
        held.promised = std::max(
            first, std::min(held.promised + to_duration(std::min(missing / rate, 60.0)), now + max_promise));
    }
    return result;
}

std::optional<team_announcement> team_limit_server::take_announcement(time_point now) {
    if (m_to_announce.empty() || now < next_timer()) {
        return std::nullopt;
    }
    team_announcement result;
    for (const auto& [host, state] : m_presence) {
        if (state.heard + contact_time > now) {
            result.to.push_back(host);
        }
    }
    result.grant = {m_term, 0, token_validity, {}};
    for (const auto& [team, metered] : std::exchange(m_to_announce, {})) {
        result.grant.items.push_back({team, metered, 0, duration{0}});
    }
    m_announced = now;
    return result;
}

time_point team_limit_server::next_timer() const {
    if (m_to_announce.empty()) {
        return time_point::max();
    }
    const auto hosts = static_cast<duration::rep>(m_presence.size());
    return m_announced + std::max(min_announcement_interval, hosts * announcement_time_per_host);
}

std::vector<team_state_change> team_limit_server::take_changes() {
    return std::exchange(m_changes, {});
}

} // namespace tamarack
