#include "membership_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/** Of a target's record that its origin has pushed to all hosts: a host that missed it gets it with seven in
 * eight. Hosts' records keep all copies, since hosts that start together learn of each other by them. */
constexpr std::size_t copies_of_pushed_news = 2;

} // namespace

membership_state::membership_state(host_record self, double news_copies, duration news_age,
                                   std::size_t direct_hosts, time_point now)
    : m_self(std::move(self)), m_news_copies(news_copies), m_news_age(news_age),
      m_direct_hosts(direct_hosts) {
    tell_self(now);
}

std::vector<host_record> membership_state::absorb(time_point now, const membership_news& news,
                                                  target_registry& registry) {
    return absorb_compared(now, news, registry, true);
}

std::vector<host_record> membership_state::absorb_compared(time_point now, const membership_news& records,
                                                           target_registry& registry, bool tell_others) {
    std::vector<host_record> changed;
    for (const host_record& record : records.hosts) {
        if (absorb_host(now, record, tell_others)) {
            changed.push_back(*m_hosts.find(record.host));
        }
    }
    for (const target_record& record : registry.on_changes(now, records.targets)) {
        if (tell_others) {
            tell(now, record, news_origin::heard);
        }
    }
    exchange_with(now, registry);
    return changed;
}

bool membership_state::absorb_host(time_point now, const host_record& record, bool tell_others) {
    if (record.host == m_self.host) {
        refute(now, record);
        return false;
    }
    const host_record* known = m_hosts.find(record.host);
    host_record taken = record;
    const bool surprising = record.state == host_state::dead && known != nullptr &&
                            known->state == host_state::alive && known->life == record.life;
    if (surprising) {
        taken.state = host_state::suspect;
    }
    if (!m_hosts.merge(now, taken)) {
        return false;
    }
    if (tell_others) {
        tell(now, taken, news_origin::heard);
    }
    return true;
}

void membership_state::refute(time_point now, const host_record& claim) {
    if (m_self.state == host_state::left) {
        return;
    }
    const bool same_life = claim.life == m_self.life;
    const bool wrong = claim.life.value > m_self.life.value ||
                       (same_life && (claim.version > m_self.version || claim.state != host_state::alive) &&
                        claim.version >= m_self.version);
    if (!wrong) {
        return;
    }
    if (claim.life.value > m_self.life.value) {
        m_self.life = incarnation{claim.life.value + 1};
    }
    m_self.version = std::max(m_self.version, claim.version) + 1;
    tell_self(now);
}

std::vector<host_record> membership_state::observe(time_point now, const host_id& host, host_state state) {
    const auto changed = m_hosts.set_state(now, host, state);
    if (!changed) {
        return {};
    }
    tell(now, *changed, news_origin::own);
    return {*changed};
}

void membership_state::change_self(time_point now, bool draining, host_state state) {
    m_self.draining = draining;
    m_self.state = state;
    ++m_self.version;
    tell_self(now);
}

void membership_state::change_load(time_point now, std::uint32_t load) {
    m_self.load = load;
    ++m_self.version;
    tell_self(now);
}

void membership_state::exchange_with(time_point now, target_registry& registry) {
    for (const target_record& change : registry.take_changes()) {
        tell(now, change, news_origin::own);
    }
    const bool told = m_told_generation == m_hosts.generation() && m_told_draining == m_self.draining;
    if (told) {
        return;
    }
    m_told_generation = m_hosts.generation();
    m_told_draining = m_self.draining;
    registry.on_hosts(now, all_hosts());
}

void membership_state::tell_self(time_point now) {
    tell(now, m_self, news_origin::own);
}

void membership_state::tell(time_point now, const host_record& record, news_origin origin) {
    m_news.add({record.host, target_id{}}, copies(), now + m_news_age, is_pushed(origin));
}

void membership_state::tell(time_point now, const target_record& record, news_origin origin) {
    const bool pushed_to_all = origin == news_origin::heard && pushes_directly();
    m_news.add({host_id{}, record.latest.target}, pushed_to_all ? copies_of_pushed_news : copies(),
               now + m_news_age, is_pushed(origin));
}

std::size_t membership_state::copies() const {
    constexpr double smallest_group = 4.0;
    const double hosts = std::max(smallest_group, static_cast<double>(m_hosts.running().size() + 1));
    return static_cast<std::size_t>(std::ceil(m_news_copies * std::log2(hosts)));
}

membership_news membership_state::compose_for_probe(time_point now, const target_registry& registry,
                                                    const host_id& receiver, std::size_t most) {
    membership_news news = records_of(m_news.take_for_probe(now, most), registry);
    const host_record* known = m_hosts.find(receiver);
    const bool may_refute = known != nullptr && known->state != host_state::alive;
    if (may_refute) {
        news.hosts.insert(news.hosts.begin(), *known);
    }
    if (may_refute || known == nullptr) {
        news.hosts.push_back(m_self);
    }
    return news;
}

membership_news membership_state::compose_for_push(const target_registry& registry, std::size_t most) {
    return records_of(m_news.take_for_push(most), registry);
}

membership_news membership_state::records_of(const std::vector<news_queue::topic>& topics,
                                             const target_registry& registry) const {
    membership_news news;
    for (const news_queue::topic& about : topics) {
        const host_record* host = about.host == m_self.host ? &m_self : m_hosts.find(about.host);
        const target_record* target = registry.find(about.target);
        if (!about.host.empty() && host != nullptr) {
            news.hosts.push_back(*host);
        } else if (!about.target.empty() && target != nullptr) {
            news.targets.push_back(*target);
            news.targets.back().latest.load = {};
        }
    }
    return news;
}

std::vector<host_record> membership_state::all_hosts() const {
    std::vector<host_record> records{m_self};
    for (const auto& [host, known] : m_hosts.peers()) {
        records.push_back(known.record);
    }
    return records;
}

bool membership_state::reaches(const endpoint& address) const {
    if (address == m_self.hosts_address) {
        return true;
    }
    const auto& peers = m_hosts.peers();
    return std::any_of(peers.begin(), peers.end(), [&](const auto& item) {
        return item.second.record.hosts_address == address && is_running(item.second.record.state);
    });
}

} // namespace tamarack
