#include "team_limit_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

using seconds = std::chrono::duration<double>;

/** Multiples of the slack that all hosts without contact may admit in a window, besides the static share. A
 * metered team, or one on a host that has just started, may have used its whole limit before; an open one has
 * used at most half of it. */
constexpr double metered_slack_part = 1.0;
constexpr double open_slack_part = 1.5;
/** Bounds of the delay after which a caller retries that was refused without the server's advice. */
constexpr duration min_retry = 100ms;
constexpr duration max_retry = 300ms;
/** Callers that were refused together return within this time. */
constexpr double max_spread_seconds = 1.0;
/** Teams without use for this time are forgotten if they are open. */
constexpr duration idle_time = 10s;

} // namespace

void recent_count::add(time_point now, std::uint32_t requests) {
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    for (std::int64_t next = std::max(m_second + 1, second - 5); next <= second; ++next) {
        m_counts[static_cast<std::size_t>(next) % m_counts.size()] = 0;
    }
    m_second = std::max(m_second, second);
    m_counts[static_cast<std::size_t>(m_second) % m_counts.size()] += requests;
}

std::uint32_t recent_count::total(time_point now) const {
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    std::uint32_t sum = 0;
    for (std::int64_t past = std::max<std::int64_t>(second - 5, 0); past <= m_second; ++past) {
        sum += past > m_second - 6 ? m_counts[static_cast<std::size_t>(past) % m_counts.size()] : 0;
    }
    return sum;
}

team_limit_client::team_limit_client(time_point now, host_id self, random_source random)
    : m_self(std::move(self)), m_random(random), m_sequence(m_random.next() >> 12U), m_contact(now),
      m_cautious_until(now) {}

void team_limit_client::set_limits(const std::vector<team_limit>& limits) {
    m_limits.clear();
    for (const team_limit& limit : limits) {
        if (limit.per_second > 0.0) {
            m_limits[limit.team] = limit;
        }
    }
    std::erase_if(m_teams, [this](const auto& item) {
        return !m_limits.contains(item.first) && item.second.waiting.empty();
    });
}

void team_limit_client::set_hosts(const std::vector<host_id>& hosts) {
    if (m_attached) {
        m_hosts = hosts;
        return;
    }
    for (const host_id& host : hosts) {
        if (std::ranges::find(m_hosts, host) == m_hosts.end()) {
            m_hosts.push_back(host);
        }
    }
}

team_limit_client::entry& team_limit_client::entry_of(time_point now, team_number team) {
    entry& held = m_teams[team];
    held.used = now;
    return held;
}

bool team_limit_client::is_metered(time_point now, const entry& held) const {
    return held.metered || now < m_cautious_until;
}

void team_limit_client::admit(entry& held) {
    ++held.admitted;
    ++held.unanswered;
    m_has_news = true;
}

team_decision team_limit_client::request(time_point now, team_number team, std::uint64_t request,
                                         duration patience) {
    const auto found = m_limits.find(team);
    if (found == m_limits.end()) {
        return {};
    }
    const team_limit& limit = found->second;
    review_contact(now);
    entry& held = entry_of(now, team);
    if (!m_attached) {
        return admit_without_contact(now, held, limit) ? team_decision{} : refuse(now, held, limit);
    }
    if (held.tokens > 0 && now < held.tokens_until) {
        --held.tokens;
        ++held.spent;
        m_has_news = true;
        return {};
    }
    const double hosts = static_cast<double>(std::max<std::size_t>(m_hosts.size(), 1));
    // An open team's bucket is at least half full; what is not reported yet may use that and the slack.
    const double unanswered_allowed = std::max(std::floor((limit.slack() + limit.burst / 2.0) / hosts), 1.0);
    if (!is_metered(now, held) && held.waiting.empty() && held.unanswered < unanswered_allowed) {
        admit(held);
        return {};
    }
    if (now < held.available_at || patience <= duration{0}) {
        return refuse(now, held, limit);
    }
    held.waiting.push_back({request, now + patience});
    m_waiting.insert(team);
    m_next_waiter = std::min(m_next_waiter, now + patience);
    m_has_asks = true;
    return {team_verdict::waiting, duration{0}};
}

team_decision team_limit_client::refuse(time_point now, entry& held, const team_limit& limit) {
    ++held.refused;
    m_has_news = true;
    if (now >= held.available_at) {
        held.refused_since = 0;
        return {team_verdict::refused, m_random.between(min_retry, max_retry)};
    }
    ++held.refused_since;
    const double spread = std::min(held.refused_since / limit.per_second, max_spread_seconds);
    return {team_verdict::refused,
            held.available_at - now +
                std::chrono::duration_cast<duration>(seconds{m_random.unit() * spread})};
}

/** @return number of hosts that come before this one for the team, in an order that all hosts compute */
std::size_t team_limit_client::rank(team_number team) const {
    const std::uint64_t own = stable_hash(m_self.value(), team);
    return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&](const host_id& other) {
        return std::make_pair(stable_hash(other.value(), team), other) < std::make_pair(own, m_self);
    }));
}

/** What is admitted here isn't charged to the bucket afterwards: the bound has room for it. */
bool team_limit_client::admit_without_contact(time_point now, entry& held, const team_limit& limit) {
    if (std::ranges::find(m_hosts, m_self) == m_hosts.end()) {
        return false;
    }
    const std::size_t hosts = m_hosts.size();
    const std::size_t own_rank = rank(limit.team);
    const bool open = !held.metered && m_server != 0 && now < m_contact + static_share_after;
    const auto shared =
        static_cast<std::size_t>(limit.slack() * (open ? open_slack_part : metered_slack_part));
    const std::size_t allowed = shared / hosts + (own_rank < shared % hosts ? 1 : 0);
    if (held.without_contact.total(now) < allowed) {
        held.without_contact.add(now, 1);
        return true;
    }
    const time_point share_from = m_contact + static_share_after;
    const time_point share_until = m_contact + static_share_until;
    const double whole = std::clamp(std::floor(limit.per_second), 1.0, static_cast<double>(hosts));
    if (now < share_from || now >= share_until || static_cast<double>(own_rank) >= whole) {
        return false;
    }
    const time_point since = std::max(held.share_updated, share_from);
    const double passed = std::max(seconds{now - since}.count(), 0.0);
    held.share_level = (since == share_from ? 0.0 : held.share_level) + passed * limit.per_second / whole;
    held.share_level = std::min(held.share_level, 1.0);
    held.share_updated = now;
    if (held.share_level < 1.0) {
        return false;
    }
    held.share_level -= 1.0;
    return true;
}

void team_limit_client::cancel(team_number team, std::uint64_t request) {
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return;
    }
    auto& waiting = found->second.waiting;
    const auto position = std::ranges::find(waiting, request, &waiter::request);
    if (position == waiting.end()) {
        return;
    }
    if (static_cast<std::size_t>(position - waiting.begin()) < found->second.asked) {
        --found->second.asked;
    }
    waiting.erase(position);
    if (waiting.empty()) {
        m_waiting.erase(team);
    }
}

/** Detects that the server doesn't answer. What it may not have received is reported again. */
void team_limit_client::review_contact(time_point now) {
    while (!m_sent.empty() && m_sent.begin()->second.at + answer_time <= now) {
        if (m_attached) {
            m_attached = false;
            for (auto& [team, held] : m_teams) {
                held.without_contact.add(now, held.unanswered);
                held.tokens = 0;
            }
        }
        for (const team_use_item& item : m_sent.begin()->second.items) {
            if (const auto found = m_teams.find(item.team); found != m_teams.end()) {
                found->second.admitted += item.admitted;
                found->second.spent += item.spent;
                found->second.refused += item.refused;
                found->second.asked -= std::min<std::size_t>(found->second.asked, item.wanted);
                m_has_news = true;
            }
        }
        m_sent.erase(m_sent.begin());
    }
}

void team_limit_client::attach(time_point now, const team_grant& grant, time_point sent_at) {
    if (!m_attached || m_server != grant.server) {
        m_just_attached = true;
        m_cautious_until = now + cautious_time;
        for (auto& [team, held] : m_teams) {
            held.tokens = 0;
            held.available_at = {};
        }
    }
    m_server = grant.server;
    m_attached = true;
    m_contact = std::max(m_contact, sent_at);
}

std::vector<waited_decision> team_limit_client::on_grant(time_point now, const team_grant& grant) {
    std::vector<waited_decision> decisions = on_timer(now);
    if (grant.sequence == 0) {
        if (grant.server == m_server) {
            for (const team_grant_item& item : grant.items) {
                if (m_limits.contains(item.team)) {
                    entry_of(now, item.team).metered = item.metered;
                }
            }
        }
        return decisions;
    }
    const auto found = m_sent.find(grant.sequence);
    if (found == m_sent.end()) {
        return decisions;
    }
    const sent_report report = std::move(found->second);
    m_sent.erase(found);
    attach(now, grant, report.at);
    for (const team_use_item& item : report.items) {
        const auto held = m_teams.find(item.team);
        if (held == m_teams.end()) {
            continue;
        }
        held->second.unanswered -= std::min(held->second.unanswered, item.admitted);
        const auto answered = std::ranges::find(grant.items, item.team, &team_grant_item::team);
        if (answered != grant.items.end()) {
            held->second.metered = answered->metered;
            take_tokens(now, held->second, item, *answered, report.at + grant.tokens_valid, decisions);
        }
    }
    return decisions;
}

void team_limit_client::take_tokens(time_point now, entry& held, const team_use_item& asked,
                                    const team_grant_item& item, time_point valid_until,
                                    std::vector<waited_decision>& decisions) {
    if (now < valid_until) {
        held.tokens = (now < held.tokens_until ? held.tokens : 0) + item.tokens;
        held.tokens_until = valid_until;
    }
    const auto limit = m_limits.find(item.team);
    while (held.tokens > 0 && !held.waiting.empty() && now < held.tokens_until) {
        --held.tokens;
        ++held.spent;
        m_has_news = true;
        decisions.push_back({held.waiting.front().request, {}});
        held.waiting.pop_front();
        held.asked -= std::min<std::size_t>(held.asked, 1);
    }
    std::uint32_t refused = asked.wanted - std::min(asked.wanted, item.tokens);
    held.available_at = refused > 0 ? now + item.until_tokens : time_point{};
    for (; refused > 0 && held.asked > 0 && !held.waiting.empty() && limit != m_limits.end(); --refused) {
        decisions.push_back({held.waiting.front().request, refuse(now, held, limit->second)});
        held.waiting.pop_front();
        --held.asked;
    }
    if (held.waiting.empty()) {
        m_waiting.erase(item.team);
    }
}

std::vector<waited_decision> team_limit_client::on_timer(time_point now) {
    review_contact(now);
    std::vector<waited_decision> decisions;
    if (now < m_next_waiter) {
        return decisions;
    }
    m_next_waiter = time_point::max();
    for (auto team = m_waiting.begin(); team != m_waiting.end();) {
        entry& held = m_teams.at(*team);
        const auto limit = m_limits.find(*team);
        std::size_t index = 0;
        const std::size_t asked = held.asked;
        std::erase_if(held.waiting, [&](const waiter& waiting) {
            const bool was_asked = index++ < asked;
            if (waiting.until > now) {
                m_next_waiter = std::min(m_next_waiter, waiting.until);
                return false;
            }
            held.asked -= was_asked ? 1 : 0;
            decisions.push_back({waiting.request, limit == m_limits.end()
                                                      ? team_decision{}
                                                      : refuse(now, held, limit->second)});
            return true;
        });
        team = held.waiting.empty() ? m_waiting.erase(team) : std::next(team);
    }
    return decisions;
}

time_point team_limit_client::use_due(time_point now) const {
    if (m_just_attached) {
        return now; // the server counts this host as in contact only after this report
    }
    if (!m_attached) {
        return m_sent_at + answer_time;
    }
    if (!m_has_news) {
        return time_point::max();
    }
    const auto for_size =
        std::chrono::duration_cast<duration>(seconds{static_cast<double>(m_report_bytes) / bytes_per_second});
    return m_reported + std::max(min_report_interval, for_size);
}

time_point team_limit_client::report_due(time_point now) const {
    if (m_limits.empty()) {
        return time_point::max();
    }
    if (m_has_asks && m_attached) {
        return m_asked + min_ask_interval;
    }
    return std::min(use_due(now), m_sent_at + contact_interval);
}

void team_limit_client::add_item(time_point now, team_use& report, team_number team, entry& held) const {
    const auto wanted = static_cast<std::uint32_t>(held.waiting.size() - held.asked);
    if (held.admitted + held.spent + held.refused + wanted == 0) {
        return;
    }
    report.items.push_back({team, held.admitted, held.spent, held.refused, wanted, is_metered(now, held)});
    held.admitted = 0;
    held.spent = 0;
    held.refused = 0;
    held.asked = held.waiting.size();
}

std::optional<team_use> team_limit_client::take_report(time_point now) {
    review_contact(now);
    if (now < report_due(now)) {
        return std::nullopt;
    }
    team_use report{m_self, ++m_sequence, m_attached, {}};
    m_sent_at = now;
    if (m_has_asks && m_attached) {
        m_asked = now;
        m_has_asks = false;
        for (const team_number team : m_waiting) {
            add_item(now, report, team, m_teams.at(team));
        }
    } else if (now >= use_due(now)) {
        m_reported = now;
        m_has_news = false;
        m_has_asks = false;
        m_just_attached = false;
        for (auto& [team, held] : m_teams) {
            add_item(now, report, team, held);
        }
        m_report_bytes = report_bytes + item_bytes * report.items.size();
    }
    if (now >= m_swept + idle_time) {
        m_swept = now;
        std::erase_if(m_teams, [now](const auto& item) {
            const entry& held = item.second;
            return !held.metered && held.waiting.empty() && held.unanswered == 0 &&
                   held.used + idle_time <= now;
        });
    }
    m_sent[report.sequence] = {now, report.items};
    return report;
}

time_point team_limit_client::next_timer(time_point now) const {
    time_point next = std::min(report_due(now), m_next_waiter);
    if (m_attached && !m_sent.empty()) {
        next = std::min(next, m_sent.begin()->second.at + answer_time);
    }
    return next;
}

} // namespace tamarack
