#include "failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

constexpr duration relayed_probe_timeout = 2s;
constexpr duration first_sync_wait = 1s;
constexpr std::size_t max_relayed_probes = 1'000;
/**
 * When a probe of a dead or suspect host is answered, this host compares states with the host that answered;
 * the probability of this is this number divided by the number of running hosts.
 */
constexpr double syncs_after_heal = 16.0;

} // namespace

failure_detector::failure_detector(host_record self, std::vector<host_record> seeds, detector_options options,
                                   random_source random, time_point now)
    : m_state(std::move(self),
              {options.update_copies, options.max_update_age, options.max_direct_push_hosts,
               options.relay_updates},
              now),
      m_seeds(std::move(seeds)), m_options(options), m_random(random), m_isolation(options.isolation),
      m_next_probe(now), m_next_sync(now + sync_retry_delay), m_sync_wait(first_sync_wait),
      m_replication(options.replication) {}

membership_actions failure_detector::on_message(time_point now, const membership_message& message,
                                                target_registry& registry) {
    std::visit([&](const auto& received) { handle(now, received, registry); }, message);
    return take_actions(now);
}

membership_actions failure_detector::on_timer(time_point now, target_registry& registry) {
    m_state.synchronise_with(now, registry);
    check_probes(now, registry);
    send_final_probes(now, registry);
    expire_suspicions(now);
    if (m_next_probe <= now) {
        m_next_probe = now + m_options.probe_interval;
        probe_next(now, registry);
    }
    compare_states(now, registry);
    m_replication.on_timer(now);
    send_replicated();
    m_state.synchronise_with(now, registry);
    push_updates(now, registry);
    return take_actions(now);
}

time_point failure_detector::next_timer() const {
    time_point next = std::min({m_next_probe, m_next_push, m_next_sync, m_replication.next_timer()});
    for (const auto& [number, running] : m_probes) {
        const duration wait = running.indirect_sent ? m_options.probe_limit : m_options.probe_timeout;
        next = std::min(next, running.sent_at + wait);
    }
    const auto oldest = m_state.hosts().oldest_suspicion();
    if (oldest && !paused()) {
        const time_point final_probe_at = *oldest + m_options.suspicion_timeout - m_options.final_probe;
        const bool final_probe_sent = m_last_timer >= final_probe_at;
        next = std::min(next, final_probe_sent ? *oldest + m_options.suspicion_timeout : final_probe_at);
    }
    if (m_sync) {
        next = std::min(next, m_sync->sent_at + sync_timeout);
    }
    return next;
}

const host_record* failure_detector::find(const host_id& host) const {
    return host == m_state.self().host ? &m_state.self() : m_state.hosts().find(host);
}

membership_actions failure_detector::set_draining(time_point now, bool draining) {
    m_state.change_self(now, draining, host_state::alive);
    m_next_push = now;
    return take_actions(now);
}

membership_actions failure_detector::set_load(time_point now, std::uint32_t load) {
    m_state.change_load(now, load);
    return take_actions(now);
}

membership_actions failure_detector::leave(time_point now) {
    m_state.change_self(now, true, host_state::left);
    const membership_updates leave_updates{{m_state.self()}, {}};
    const auto receivers = choose_hosts(m_state.hosts().running(), push_count(), {}, m_random);
    for (const host_id& host : receivers) {
        send(host, update_push{m_state.self().host, leave_updates});
    }
    return take_actions(now);
}

void failure_detector::handle(time_point now, const probe_request& message, target_registry& registry) {
    report(m_state.absorb(now, message.updates, registry, {message.from, false}));
    const bool about_another = !message.subject.empty() && message.subject != m_state.self().host;
    if (about_another) {
        relay(now, message, registry);
        return;
    }
    probe_reply reply{message.number, m_state.self().host, m_state.self().host, {}};
    reply.updates = m_state.compose_for_probe(now, registry, message.from, m_options.max_updates_per_message);
    const auto& received = message.updates.hosts;
    const bool outdated = std::any_of(received.begin(), received.end(), [&](const host_record& record) {
        return record.host == m_state.self().host && record != m_state.self();
    });
    if (message.full_state || outdated) {
        reply.updates.hosts.push_back(m_state.self());
    }
    send(message.from, std::move(reply));
}

void failure_detector::relay(time_point now, const probe_request& message, target_registry& registry) {
    std::erase_if(m_indirect_probes,
                  [&](const auto& item) { return item.second.sent_at + relayed_probe_timeout <= now; });
    if (m_indirect_probes.size() >= max_relayed_probes) {
        return;
    }
    const std::uint64_t number = m_next_number++;
    m_indirect_probes[number] = {message.from, message.number, message.subject, now};
    probe_request request{number, m_state.self().host, message.subject, false, {}};
    request.updates =
        m_state.compose_for_probe(now, registry, message.subject, m_options.max_updates_per_message);
    send(message.subject, std::move(request));
}

void failure_detector::handle(time_point now, const probe_reply& message, target_registry& registry) {
    report(m_state.absorb(now, message.updates, registry, {message.from, false}));
    const auto relayed = m_indirect_probes.find(message.number);
    if (relayed != m_indirect_probes.end()) {
        const indirect_probe relayed_request = relayed->second;
        m_indirect_probes.erase(relayed);
        probe_reply reply{relayed_request.number, m_state.self().host, relayed_request.subject, {}};
        reply.updates = m_state.compose_for_probe(now, registry, relayed_request.requester,
                                                  m_options.max_updates_per_message);
        send(relayed_request.requester, std::move(reply));
        return;
    }
    const auto found = m_probes.find(message.number);
    if (found == m_probes.end()) {
        return;
    }
    const pending_probe answered = found->second;
    m_probes.erase(found);
    record_result(now, true, registry);
    const double running = static_cast<double>(m_state.hosts().running().size() + 1);
    const bool from_seed = answered.subject.empty();
    const bool healed =
        !answered.counts_as_evidence && (from_seed || m_random.chance(syncs_after_heal / running));
    if (healed && !m_sync) {
        start_sync(now, message.from, 0, registry);
    }
}

void failure_detector::handle(time_point now, const update_push& message, target_registry& registry) {
    report(m_state.absorb(now, message.updates, registry, {message.from, true}));
    if (message.confirmation != 0) {
        confirm(now, message, registry);
    }
}

void failure_detector::probe_next(time_point now, target_registry& registry) {
    const host_id next = m_order.next(m_state.hosts().running(), m_random);
    if (!next.empty()) {
        probe(now, next, true, registry);
    }
    probe_dead(now, registry);
    probe_seed(now);
    if (!paused()) {
        m_state.hosts().forget_unchanged_since(now - m_options.forget_after);
    }
}

void failure_detector::probe(time_point now, const host_id& subject, bool counts_as_evidence,
                             target_registry& registry) {
    const std::uint64_t number = m_next_number++;
    m_probes[number] = {subject, now, false, counts_as_evidence};
    send_probe(now, subject, number, registry);
}

void failure_detector::send_probe(time_point now, const host_id& subject, std::uint64_t number,
                                  target_registry& registry) {
    probe_request request{number, m_state.self().host, subject, !m_joined, {}};
    request.updates = m_state.compose_for_probe(now, registry, subject, m_options.max_updates_per_message);
    if (!m_joined) {
        request.updates.hosts.push_back(m_state.self());
    }
    send(subject, std::move(request));
}

void failure_detector::probe_dead(time_point now, target_registry& registry) {
    const std::vector<host_id>& dead = m_state.hosts().dead();
    if (dead.empty() || !m_options.protections.probe_dead) {
        return;
    }
    const double share =
        static_cast<double>(dead.size()) / static_cast<double>(m_state.hosts().running().size() + 1);
    if (m_random.chance(share)) {
        probe(now, dead[m_random.below(dead.size())], false, registry);
    }
}

void failure_detector::probe_seed(time_point now) {
    std::vector<const host_record*> missing;
    for (const host_record& seed : m_seeds) {
        if (!m_state.runs_at(seed.hosts_address)) {
            missing.push_back(&seed);
        }
    }
    const double hosts = static_cast<double>(m_state.hosts().running().size() + 1);
    const bool allowed = m_options.protections.probe_dead || !m_joined;
    const bool due = allowed && !missing.empty() && (!m_joined || m_random.chance(1.0 / hosts));
    if (!due) {
        return;
    }
    const host_record& seed = *missing[m_random.below(missing.size())];
    const std::uint64_t number = m_next_number++;
    m_probes[number] = {host_id{}, now, false, false};
    probe_request request{number, m_state.self().host, host_id{}, true, {}};
    request.updates.hosts.push_back(m_state.self());
    m_actions.emplace_back(send_membership{seed.host, seed.hosts_address, std::move(request)});
}

void failure_detector::check_probes(time_point now, target_registry& registry) {
    std::vector<pending_probe> ended;
    for (auto probe = m_probes.begin(); probe != m_probes.end();) {
        pending_probe& running = probe->second;
        if (running.sent_at + m_options.probe_limit <= now) {
            ended.push_back(running);
            probe = m_probes.erase(probe);
            continue;
        }
        const bool late = !running.indirect_sent && running.sent_at + m_options.probe_timeout <= now;
        if (late) {
            running.indirect_sent = true;
            on_probe_timeout(now, running, probe->first, registry);
        }
        ++probe;
    }
    for (const pending_probe& running : ended) {
        on_probe_failed(now, running, registry);
    }
}

void failure_detector::on_probe_timeout(time_point now, const pending_probe& running, std::uint64_t number,
                                        target_registry& registry) {
    const host_record* subject = m_state.hosts().find(running.subject);
    if (subject == nullptr) {
        return;
    }
    send_probe(now, running.subject, number, registry);
    if (is_running(subject->state)) {
        send_indirect_probes(now, running.subject, number, registry);
    }
    if (running.counts_as_evidence) {
        m_next_probe = now;
    }
}

void failure_detector::send_indirect_probes(time_point now, const host_id& subject, std::uint64_t number,
                                            target_registry& registry) {
    const auto helpers =
        choose_hosts(m_state.hosts().running(), m_options.indirect_probes, subject, m_random);
    for (const host_id& helper : helpers) {
        probe_request request{number, m_state.self().host, subject, false, {}};
        request.updates = m_state.compose_for_probe(now, registry, helper, m_options.max_updates_per_message);
        send(helper, std::move(request));
    }
}

void failure_detector::on_probe_failed(time_point now, const pending_probe& ended,
                                       target_registry& registry) {
    if (!ended.counts_as_evidence) {
        return;
    }
    record_result(now, false, registry);
    const host_record* subject = m_state.hosts().find(ended.subject);
    if (subject == nullptr || subject->state != host_state::alive || paused()) {
        return;
    }
    const bool suspect_first = m_options.protections.suspect_first;
    report(m_state.observe(now, ended.subject, suspect_first ? host_state::suspect : host_state::dead));
}

void failure_detector::send_final_probes(time_point now, target_registry& registry) {
    m_last_timer = now;
    std::erase_if(m_final_probes, [&](const auto& item) {
        const host_table::peer* suspect = m_state.hosts().find_peer(item.first);
        return suspect == nullptr || suspect->record.state != host_state::suspect ||
               suspect->suspect_since != item.second;
    });
    if (paused() || !m_options.protections.final_probe) {
        return;
    }
    const time_point begin = now - (m_options.suspicion_timeout - m_options.final_probe);
    for (const host_id& suspect : m_state.hosts().suspects_since(begin)) {
        if (m_final_probes.emplace(suspect, m_state.hosts().find_peer(suspect)->suspect_since).second) {
            probe(now, suspect, false, registry);
        }
    }
}

void failure_detector::expire_suspicions(time_point now) {
    if (paused()) {
        return;
    }
    for (const host_id& suspect : m_state.hosts().suspects_since(now - m_options.suspicion_timeout)) {
        report(m_state.observe(now, suspect, host_state::dead));
    }
}

duration failure_detector::push_delay() {
    if (m_state.dissemination() != dissemination_mode::relayed || !m_state.relays().is_relay()) {
        return m_options.push_delay;
    }
    const auto receivers = static_cast<duration::rep>(m_state.relays().local_hosts().size());
    return std::max(m_options.push_delay, receivers * m_options.relay_delay_per_host);
}

void failure_detector::record_result(time_point now, bool answered, target_registry& registry) {
    const bool before = m_isolation.isolated();
    const bool too_few_hosts = m_state.hosts().running().size() + m_state.hosts().dead().size() < 2;
    if (too_few_hosts) {
        return;
    }
    m_isolation.on_result(now, answered);
    const bool after = m_isolation.isolated();
    if (before == after) {
        return;
    }
    registry.on_isolation(now, after);
    if (!after) {
        m_state.hosts().restart_suspicions(now);
        m_joined = false;
        m_sync_wait = first_sync_wait;
        m_next_sync = now;
    }
}

bool failure_detector::paused() const {
    return m_isolation.isolated() && m_options.protections.pause_while_isolated;
}

void failure_detector::send(const host_id& to, membership_message message) {
    const host_record* receiver = m_state.hosts().find(to);
    if (receiver != nullptr) {
        m_actions.emplace_back(send_membership{to, receiver->hosts_address, std::move(message)});
    }
}

void failure_detector::report(const std::vector<host_record>& changed) {
    for (const host_record& record : changed) {
        m_new_hosts.on_host(record);
        m_actions.emplace_back(host_changed{record});
    }
}

membership_actions failure_detector::take_actions(time_point now) {
    const bool healed = m_seen_revivals != m_state.hosts().revivals();
    if (healed) {
        m_seen_revivals = m_state.hosts().revivals();
        m_sync_wait = first_sync_wait;
        m_next_sync = std::min(m_next_sync, now + m_random.between(0us, first_sync_wait));
    }
    const bool has_updates = m_state.pending_updates().has_unpushed() || !m_new_hosts.empty();
    if (has_updates && m_next_push == time_point::max()) {
        m_next_push = now + push_delay();
    }
    return std::exchange(m_actions, {});
}

} // namespace tamarack
