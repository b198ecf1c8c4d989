#include "membership_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/**
 * Number of copies of a target's record after its origin has pushed it to all hosts: a host that missed the
 * push gets the record with a probability of seven in eight. For records of hosts the full number of copies
 * is sent, because hosts that start at the same time learn of each other through them.
 */
constexpr std::size_t target_copies_after_direct_push = 2;
/**
 * Number of copies of a relayed host record. Few are enough, because state comparison finds the records that
 * a failed relay has not forwarded.
 */
constexpr std::size_t host_copies_when_relayed = 2;

} // namespace

membership_state::membership_state(host_record self, dissemination_options options, time_point now)
    : m_self(std::move(self)), m_options(options) {
    enqueue_self(now);
}

dissemination_mode membership_state::dissemination() const {
    if (m_hosts.running().size() + 1 <= m_options.direct_hosts) {
        return dissemination_mode::direct;
    }
    return m_options.relayed ? dissemination_mode::relayed : dissemination_mode::gossip;
}

const update_relays& membership_state::relays() {
    m_relays.refresh(m_self, m_hosts);
    return m_relays;
}

membership_state::push_scope membership_state::scope_of_received(const update_source& source) {
    switch (dissemination()) {
    case dissemination_mode::direct:
        return std::nullopt;
    case dissemination_mode::gossip:
        return update_scope::everyone;
    case dissemination_mode::relayed:
        break;
    }
    if (!source.pushed || !relays().is_relay(source.from)) {
        return update_scope::everyone;
    }
    if (m_relays.is_local(source.from)) {
        return std::nullopt;
    }
    return m_relays.is_relay() ? update_scope::own_data_center : update_scope::everyone;
}

std::vector<host_record> membership_state::absorb(time_point now, const membership_updates& updates,
                                                  target_registry& registry, const update_source& source) {
    return apply(now, updates, registry, true, scope_of_received(source));
}

std::vector<host_record> membership_state::absorb_compared(time_point now, const membership_updates& records,
                                                           target_registry& registry, const host_id& peer,
                                                           bool forward) {
    return apply(now, records, registry, forward, scope_of_received({peer, true}));
}

std::vector<host_record> membership_state::apply(time_point now, const membership_updates& records,
                                                 target_registry& registry, bool forward,
                                                 push_scope push_on) {
    std::vector<host_record> changed;
    for (const host_record& record : records.hosts) {
        if (!apply_host(now, record)) {
            continue;
        }
        changed.push_back(*m_hosts.find(record.host));
        if (forward) {
            enqueue(now, changed.back(), push_on);
        }
    }
    for (const target_record& record : registry.on_changes(now, records.targets)) {
        if (forward) {
            enqueue(now, record, update_origin::received, push_on);
        }
    }
    enqueue_registry_changes(now, registry);
    return changed;
}

bool membership_state::apply_host(time_point now, const host_record& record) {
    if (record.host == m_self.host) {
        refute(now, record);
        return false;
    }
    const host_record* known = m_hosts.find(record.host);
    host_record taken = record;
    const bool unexpected_death = record.state == host_state::dead && known != nullptr &&
                                  known->state == host_state::alive &&
                                  known->incarnation == record.incarnation;
    if (unexpected_death) {
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
    enqueue_self(now);
}

std::vector<host_record> membership_state::observe(time_point now, const host_id& host, host_state state) {
    const auto changed = m_hosts.set_state(now, host, state);
    if (!changed) {
        return {};
    }
    enqueue(now, *changed, update_scope::everyone);
    return {*changed};
}

void membership_state::change_self(time_point now, bool draining, host_state state) {
    m_self.draining = draining;
    m_self.state = state;
    ++m_self.version;
    enqueue_self(now);
}

void membership_state::change_load(time_point now, std::uint32_t load) {
    m_self.load = load;
    ++m_self.version;
    enqueue_self(now);
}

void membership_state::enqueue_registry_changes(time_point now, target_registry& registry) {
    for (const target_record& change : registry.take_changes()) {
        enqueue(now, change, update_origin::local, update_scope::everyone);
    }
}

void membership_state::synchronise_with(time_point now, target_registry& registry) {
    enqueue_registry_changes(now, registry);
    const bool reported =
        m_reported_generation == m_hosts.generation() && m_reported_draining == m_self.draining;
    if (reported) {
        return;
    }
    m_reported_generation = m_hosts.generation();
    m_reported_draining = m_self.draining;
    registry.on_hosts(now, all_hosts());
}

void membership_state::forward_to_all(time_point now, const target_record& record) {
    enqueue(now, record, update_origin::local, update_scope::everyone);
}

void membership_state::enqueue_self(time_point now) {
    enqueue(now, m_self, update_scope::everyone);
}

void membership_state::enqueue(time_point now, const host_record& record, push_scope scope) {
    m_pending_updates.add({record.host, target_id{}}, copies(), now + m_options.age, scope);
}

void membership_state::enqueue(time_point now, const target_record& record, update_origin origin,
                               push_scope scope) {
    m_pending_updates.add({host_id{}, record.latest.target}, target_copies(origin), now + m_options.age,
                          scope);
}

std::size_t membership_state::target_copies(update_origin origin) const {
    switch (dissemination()) {
    case dissemination_mode::direct:
        return origin == update_origin::received ? target_copies_after_direct_push : copies();
    case dissemination_mode::gossip:
        return copies();
    case dissemination_mode::relayed:
        break;
    }
    return 0;
}

std::size_t membership_state::copies() const {
    if (dissemination() == dissemination_mode::relayed) {
        return host_copies_when_relayed;
    }
    constexpr double smallest_group = 4.0;
    const double hosts = std::max(smallest_group, static_cast<double>(m_hosts.running().size() + 1));
    return static_cast<std::size_t>(std::ceil(m_options.copies * std::log2(hosts)));
}

membership_updates membership_state::compose_for_probe(time_point now, const target_registry& registry,
                                                       const host_id& receiver, std::size_t max_count) {
    membership_updates updates = records_of(m_pending_updates.take_for_probe(now, max_count), registry);
    const host_record* known = m_hosts.find(receiver);
    const bool may_refute = known != nullptr && known->state != host_state::alive;
    if (may_refute) {
        updates.hosts.insert(updates.hosts.begin(), *known);
    }
    if (may_refute || known == nullptr) {
        updates.hosts.push_back(m_self);
    }
    return updates;
}

pushed_updates membership_state::compose_for_push(const target_registry& registry, std::size_t max_count) {
    std::vector<update_queue::topic> everyone;
    std::vector<update_queue::topic> local;
    for (update_queue::pushed_topic& pushed : m_pending_updates.take_for_push(max_count)) {
        auto& topics = pushed.scope == update_scope::everyone ? everyone : local;
        topics.push_back(std::move(pushed.about));
    }
    return {records_of(everyone, registry), records_of(local, registry)};
}

membership_updates membership_state::full_state(const target_registry& registry) const {
    membership_updates state{all_hosts(), registry.all()};
    for (target_record& record : state.targets) {
        record.latest.load = {};
    }
    return state;
}

membership_updates membership_state::records_of(const std::vector<update_queue::topic>& topics,
                                                const target_registry& registry) const {
    membership_updates updates;
    for (const update_queue::topic& about : topics) {
        const host_record* host = about.host == m_self.host ? &m_self : m_hosts.find(about.host);
        const target_record* target = registry.find(about.target);
        if (!about.host.empty() && host != nullptr) {
            updates.hosts.push_back(*host);
        } else if (!about.target.empty() && target != nullptr) {
            updates.targets.push_back(*target);
            updates.targets.back().latest.load = {};
        }
    }
    return updates;
}

std::vector<host_record> membership_state::all_hosts() const {
    std::vector<host_record> records{m_self};
    for (const auto& [host, entry] : m_hosts.peers()) {
        records.push_back(entry.record);
    }
    return records;
}

bool membership_state::runs_at(const endpoint& address) const {
    if (address == m_self.hosts_address) {
        return true;
    }
    const auto& peers = m_hosts.peers();
    return std::any_of(peers.begin(), peers.end(), [&](const auto& item) {
        return item.second.record.hosts_address == address && is_running(item.second.record.state);
    });
}

} // namespace tamarack
