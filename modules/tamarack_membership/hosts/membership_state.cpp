#include "membership_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/** Of a target's record that its origin has pushed to all hosts: a host that missed it gets it with seven in
 * eight. Hosts' records keep all copies, since hosts that start together learn of each other by them. */
constexpr std::size_t copies_of_pushed_news = 2;
/** Of a host's record that is relayed: the comparison of states finds what a lost relay has not passed on. */
constexpr std::size_t copies_of_relayed_news = 2;

} // namespace

membership_state::membership_state(host_record self, news_options options, time_point now)
    : m_self(std::move(self)), m_options(options) {
    tell_self(now);
}

news_spread membership_state::spread() const {
    if (m_hosts.running().size() + 1 <= m_options.direct_hosts) {
        return news_spread::direct;
    }
    return m_options.relayed ? news_spread::relayed : news_spread::gossip;
}

const update_relays& membership_state::relays() {
    m_relays.update(m_self, m_hosts);
    return m_relays;
}

membership_state::push_scope membership_state::scope_of_heard(const news_source& source) {
    switch (spread()) {
    case news_spread::direct:
        return std::nullopt;
    case news_spread::gossip:
        return update_scope::everyone;
    case news_spread::relayed:
        break;
    }
    if (!source.pushed || !relays().is_relay(source.from)) {
        return update_scope::everyone;
    }
    if (m_relays.is_near(source.from)) {
        return std::nullopt;
    }
    return m_relays.relays() ? update_scope::own_data_center : update_scope::everyone;
}

std::vector<host_record> membership_state::absorb(time_point now, const membership_updates& news,
                                                  target_registry& registry, const news_source& source) {
    return take(now, news, registry, true, scope_of_heard(source));
}

std::vector<host_record> membership_state::absorb_compared(time_point now, const membership_updates& records,
                                                           target_registry& registry, const host_id& peer,
                                                           bool tell_others) {
    return take(now, records, registry, tell_others, scope_of_heard({peer, true}));
}

std::vector<host_record> membership_state::take(time_point now, const membership_updates& records,
                                                target_registry& registry, bool tell_others,
                                                push_scope pushed_on) {
    std::vector<host_record> changed;
    for (const host_record& record : records.hosts) {
        if (!take_host(now, record)) {
            continue;
        }
        changed.push_back(*m_hosts.find(record.host));
        if (tell_others) {
            tell(now, changed.back(), pushed_on);
        }
    }
    for (const target_record& record : registry.on_changes(now, records.targets)) {
        if (tell_others) {
            tell(now, record, news_origin::heard, pushed_on);
        }
    }
    take_changes(now, registry);
    return changed;
}

bool membership_state::take_host(time_point now, const host_record& record) {
    if (record.host == m_self.host) {
        refute(now, record);
        return false;
    }
    const host_record* known = m_hosts.find(record.host);
    host_record taken = record;
    const bool surprising = record.state == host_state::dead && known != nullptr &&
                            known->state == host_state::alive && known->incarnation == record.incarnation;
    if (surprising) {
        taken.state = host_state::suspect;
    }
    return m_hosts.merge(now, taken);
}

void membership_state::refute(time_point now, const host_record& claim) {
    if (m_self.state == host_state::left) {
        return;
    }
    const bool same_incarnation = claim.incarnation == m_self.incarnation;
    const bool wrong =
        claim.incarnation.value > m_self.incarnation.value ||
        (same_incarnation && (claim.version > m_self.version || claim.state != host_state::alive) &&
         claim.version >= m_self.version);
    if (!wrong) {
        return;
    }
    if (claim.incarnation.value > m_self.incarnation.value) {
        m_self.incarnation = incarnation_id{claim.incarnation.value + 1};
    }
    m_self.version = std::max(m_self.version, claim.version) + 1;
    tell_self(now);
}

std::vector<host_record> membership_state::observe(time_point now, const host_id& host, host_state state) {
    const auto changed = m_hosts.set_state(now, host, state);
    if (!changed) {
        return {};
    }
    tell(now, *changed, update_scope::everyone);
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

void membership_state::take_changes(time_point now, target_registry& registry) {
    for (const target_record& change : registry.take_changes()) {
        tell(now, change, news_origin::own, update_scope::everyone);
    }
}

void membership_state::exchange_with(time_point now, target_registry& registry) {
    take_changes(now, registry);
    const bool told = m_told_generation == m_hosts.generation() && m_told_draining == m_self.draining;
    if (told) {
        return;
    }
    m_told_generation = m_hosts.generation();
    m_told_draining = m_self.draining;
    registry.on_hosts(now, all_hosts());
}

void membership_state::tell_self(time_point now) {
    tell(now, m_self, update_scope::everyone);
}

void membership_state::tell(time_point now, const host_record& record, push_scope scope) {
    m_news.add({record.host, target_id{}}, copies(), now + m_options.age, scope);
}

void membership_state::tell(time_point now, const target_record& record, news_origin origin,
                            push_scope scope) {
    m_news.add({host_id{}, record.latest.target}, target_copies(origin), now + m_options.age, scope);
}

std::size_t membership_state::target_copies(news_origin origin) const {
    switch (spread()) {
    case news_spread::direct:
        return origin == news_origin::heard ? copies_of_pushed_news : copies();
    case news_spread::gossip:
        return copies();
    case news_spread::relayed:
        break;
    }
    return 0;
}

std::size_t membership_state::copies() const {
    if (spread() == news_spread::relayed) {
        return copies_of_relayed_news;
    }
    constexpr double smallest_group = 4.0;
    const double hosts = std::max(smallest_group, static_cast<double>(m_hosts.running().size() + 1));
    return static_cast<std::size_t>(std::ceil(m_options.copies * std::log2(hosts)));
}

membership_updates membership_state::compose_for_probe(time_point now, const target_registry& registry,
                                                       const host_id& receiver, std::size_t most) {
    membership_updates news = records_of(m_news.take_for_probe(now, most), registry);
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

pushed_news membership_state::compose_for_push(const target_registry& registry, std::size_t most) {
    std::vector<update_queue::topic> everyone;
    std::vector<update_queue::topic> near;
    for (update_queue::pushed_topic& pushed : m_news.take_for_push(most)) {
        auto& topics = pushed.scope == update_scope::everyone ? everyone : near;
        topics.push_back(std::move(pushed.about));
    }
    return {records_of(everyone, registry), records_of(near, registry)};
}

membership_updates membership_state::whole_state(const target_registry& registry) const {
    membership_updates whole{all_hosts(), registry.all()};
    for (target_record& record : whole.targets) {
        record.latest.load = {};
    }
    return whole;
}

membership_updates membership_state::records_of(const std::vector<update_queue::topic>& topics,
                                                const target_registry& registry) const {
    membership_updates news;
    for (const update_queue::topic& about : topics) {
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
