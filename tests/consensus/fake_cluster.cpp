#include "fake_cluster.h"

#include <algorithm>
#include <stdexcept>

namespace tamarack {

namespace {

[[noreturn]] void throw_on_broken_invariant(std::string_view text, const source_place& /*place*/) {
    throw std::logic_error(std::string{text});
}

} // namespace

fake_cluster::fake_cluster(std::uint64_t seed, std::size_t size, raft_options options,
                           fault_conditions conditions)
    : m_random(seed), m_options(options), m_conditions(conditions),
      m_previous_handler(set_invariant_handler(throw_on_broken_invariant)) {
    for (std::size_t host = 0; host < size; ++host) {
        m_hosts.emplace_back(fake_disk{{host_id{std::string(1, static_cast<char>('a' + host))}, {host + 1}}});
        m_hosts.back().clock_rate = 1 + m_conditions.drift * (2 * m_random.unit() - 1);
    }
    for (std::size_t host = 0; host < size; ++host) {
        start(host);
    }
}

fake_cluster::~fake_cluster() {
    set_invariant_handler(m_previous_handler);
}

void fake_cluster::bootstrap(std::size_t on) {
    std::vector<member_id> voters;
    for (std::size_t host = 0; host < size(); ++host) {
        voters.push_back(member(host));
    }
    act(on, [&](raft_node& node, time_point now) { return value_of(node.bootstrap(now, voters)); });
}

void fake_cluster::run(duration time) {
    run_until([] { return false; }, time);
}

bool fake_cluster::run_until(const std::function<bool()>& condition, duration max_time) {
    const time_point end = m_now + max_time;
    while (!condition()) {
        if (m_events.empty() || m_events.begin()->first > end) {
            m_now = end;
            return condition();
        }
        step();
    }
    return true;
}

void fake_cluster::step() {
    auto due = m_events.extract(m_events.begin());
    m_now = std::max(m_now, due.key());
    const event& what = due.mapped();
    fake_host& host = m_hosts[what.host];
    if (host.node && (what.generation == 0 || what.generation == host.generation)) {
        act(what.host, what.call);
    }
}

void fake_cluster::act(std::size_t host, const std::function<raft_actions(raft_node&, time_point)>& call) {
    if (!m_hosts[host].node) {
        return;
    }
    try {
        for (const raft_action& action : call(*m_hosts[host].node, local_time(host))) {
            perform(host, action);
        }
        schedule_timer(host);
    } catch (const std::logic_error& broken) {
        m_checker.add_violation(broken.what());
        crash(host);
    }
}

void fake_cluster::perform(std::size_t host, const raft_action& action) {
    if (const auto* message = std::get_if<send_message>(&action)) {
        transmit(host, message->envelope);
    } else if (const auto* change = std::get_if<persist_change>(&action)) {
        store(host, *change);
    } else if (const auto* applied = std::get_if<apply_entries>(&action)) {
        apply(host, applied->entries);
    } else if (const auto* restored = std::get_if<restore_snapshot>(&action)) {
        m_checker.on_restore(restored->snapshot);
        m_hosts[host].applied = restored->snapshot.last.index;
    } else if (const auto* confirmed = std::get_if<read_confirmed>(&action)) {
        m_checker.on_read(confirmed->index, m_hosts[host].reads[confirmed->read]);
    } else if (const auto* changed = std::get_if<role_changed>(&action)) {
        m_hosts[host].proposed.clear();
        if (changed->role == raft_role::leader) {
            m_checker.on_leader(changed->term, member(host));
        }
    }
}

void fake_cluster::transmit(std::size_t from, const raft_envelope& envelope) {
    const std::size_t to = host_index(envelope.to.host);
    if (m_cuts.contains({from, to}) || m_random.chance(m_conditions.loss)) {
        return;
    }
    const auto decoded = decode_envelope(encode_envelope(envelope));
    const int copies = m_random.chance(m_conditions.duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        schedule(m_random.between(m_conditions.min_delay, m_conditions.max_delay),
                 {to, 0, [message = value_of(decoded)](raft_node& node, time_point now) {
                      return node.on_message(now, message);
                  }});
    }
}

void fake_cluster::store(std::size_t host, const persist_change& change) {
    m_hosts[host].disk.write(change);
    sync_later(host, change.number);
}

void fake_cluster::sync_later(std::size_t host, std::uint64_t change) {
    fake_host& storing = m_hosts[host];
    schedule(m_random.between(m_conditions.min_sync_time, m_conditions.max_sync_time),
             {host, storing.generation, [this, host, &storing, change](raft_node& node, time_point now) {
                  if (storing.disk_fails) {
                      sync_later(host, change);
                      return node.on_persist_failed(now);
                  }
                  storing.disk.sync();
                  return node.on_persisted(now, change);
              }});
}

void fake_cluster::apply(std::size_t host, const std::vector<log_entry>& entries) {
    fake_host& applying = m_hosts[host];
    for (const log_entry& entry : entries) {
        m_checker.on_apply(member(host), applying.applied, entry);
        applying.applied = entry.index;
        if (applying.proposed.contains(entry.index)) {
            m_checker.on_acknowledge(entry);
        }
    }
}

void fake_cluster::crash(std::size_t host) {
    m_hosts[host].node.reset();
    m_hosts[host].disk.crash(m_random);
    m_hosts[host].reads.clear();
    m_hosts[host].proposed.clear();
}

void fake_cluster::start(std::size_t host) {
    fake_host& starting = m_hosts[host];
    if (starting.node) {
        return;
    }
    ++starting.generation;
    starting.applied = 0;
    starting.disk_fails = false;
    starting.node = std::make_unique<raft_node>(member(host), starting.disk.content(), m_options,
                                                random_source{m_random.next()}, local_time(host));
    act(host, [](raft_node& node, time_point /*now*/) { return node.start(); });
}

void fake_cluster::empty(std::size_t host) {
    crash(host);
    m_hosts[host].disk.empty(m_random);
}

void fake_cluster::isolate(std::size_t host) {
    split({host});
}

void fake_cluster::split(const std::set<std::size_t>& inside) {
    for (const std::size_t host : inside) {
        for (std::size_t other = 0; other < size(); ++other) {
            if (!inside.contains(other)) {
                cut(host, other);
                cut(other, host);
            }
        }
    }
}

bool fake_cluster::propose(std::size_t host, const std::string& content) {
    bool accepted = false;
    act(host, [&](raft_node& node, time_point now) {
        raft_actions actions;
        const auto place = node.propose(now, content, actions);
        accepted = succeeded(place);
        if (accepted) {
            m_hosts[host].proposed.insert(value_of(place).index);
        }
        return actions;
    });
    return accepted;
}

void fake_cluster::read(std::size_t host) {
    const std::uint64_t number = ++m_next_read;
    m_hosts[host].reads[number] = m_checker.committed();
    act(host, [number](raft_node& node, time_point now) { return node.confirm_read(now, number); });
}

void fake_cluster::compact_log(std::size_t host) {
    const log_index applied = m_hosts[host].applied;
    if (applied > 0) {
        act(host, [&](raft_node& node, time_point now) {
            return node.on_snapshot(now, applied, m_checker.state_at(applied));
        });
    }
}

std::optional<std::size_t> fake_cluster::leader() const {
    std::optional<std::size_t> found;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const auto& node = m_hosts[host].node;
        const bool newer = node && node->role() == raft_role::leader &&
                           (!found || node->term() > m_hosts[*found].node->term());
        found = newer ? host : found;
    }
    return found;
}

bool fake_cluster::all_applied(log_index index) const {
    return std::ranges::all_of(m_hosts,
                               [index](const fake_host& host) { return host.node && host.applied >= index; });
}

void fake_cluster::schedule(duration delay, event what) {
    m_events.emplace(m_now + delay, std::move(what));
}

void fake_cluster::schedule_timer(std::size_t host) {
    const fake_host& waiting = m_hosts[host];
    const time_point due = waiting.node->next_timer();
    if (due == time_point::max()) {
        return;
    }
    const auto local_delay = std::max(due - local_time(host), duration{1});
    const double delay = static_cast<double>(local_delay.count()) / waiting.clock_rate;
    schedule(duration{static_cast<duration::rep>(delay) + 1},
             {host, waiting.generation, [](raft_node& node, time_point now) { return node.on_timer(now); }});
}

time_point fake_cluster::local_time(std::size_t host) const {
    const double local = static_cast<double>(m_now.time_since_epoch().count()) * m_hosts[host].clock_rate;
    return time_point{duration{static_cast<duration::rep>(local)}};
}

std::size_t fake_cluster::host_index(const host_id& host) const {
    return static_cast<std::size_t>(host.value().front() - 'a');
}

} // namespace tamarack
