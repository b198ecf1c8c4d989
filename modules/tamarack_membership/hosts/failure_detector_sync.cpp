#include "failure_detector.h"

#include "state_comparison.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void failure_detector::handle(time_point now, const sync_request& message, target_registry& /*registry*/) {
    m_sync_requests.push_back(message);
    m_next_push = std::min(m_next_push, now);
}

void failure_detector::handle(time_point now, const sync_reply& message, target_registry& registry) {
    const bool expected = m_sync && m_sync->number == message.number && m_sync->peer == message.from;
    if (!expected) {
        return;
    }
    m_sync.reset();
    const state_comparison::view own{m_state.self(), m_state.hosts(), registry};
    const std::set<std::size_t> differ{message.differ.begin(), message.differ.end()};
    if (!differ.empty()) {
        send(message.from, update_push{m_state.self().host, state_comparison::records_of(own, differ)});
    }
    report(m_state.absorb_compared(now, message.records, registry, message.from, m_joined));
    if (message.lists_registered) {
        registry.on_registered_list(now, message.from, message.registered);
    }
    if (message.next_group < state_groups) {
        start_sync(now, message.from, message.next_group, registry);
        return;
    }
    m_joined = true;
    m_next_sync = now + m_random.between(m_sync_wait / 2, m_sync_wait * 3 / 2);
    m_sync_wait = std::min(2 * m_sync_wait, m_options.sync_interval);
}

void failure_detector::answer_syncs(time_point now, target_registry& registry) {
    const state_comparison::view own{m_state.self(), m_state.hosts(), registry};
    for (const sync_request& request : std::exchange(m_sync_requests, {})) {
        sync_reply reply = state_comparison::answer(now, own, request, m_options.max_sync_records);
        if (!m_joined) {
            reply.lists_registered = false;
            reply.registered.clear();
        }
        send(request.from, std::move(reply));
    }
}

void failure_detector::start_sync(time_point now, const host_id& peer, std::size_t first_group,
                                  target_registry& registry) {
    const state_comparison::view own{m_state.self(), m_state.hosts(), registry};
    sync_request request;
    request.number = m_next_number++;
    request.from = m_state.self().host;
    request.first_group = first_group;
    request.hashes = state_comparison::hashes(now, own, first_group);
    request.registered_hash = state_comparison::registered_hash(own, peer);
    m_sync = pending_sync{request.number, peer, now};
    send(peer, std::move(request));
}

void failure_detector::compare_states(time_point now, target_registry& registry) {
    const bool failed = m_sync && m_sync->sent_at + sync_timeout <= now;
    if (failed) {
        m_sync.reset();
        m_next_sync = m_joined ? m_next_sync : now;
    }
    if (m_next_sync > now) {
        return;
    }
    m_next_sync = now + (m_joined ? m_options.sync_interval : sync_retry_delay);
    const auto chosen = choose_hosts(sync_candidates(), 1, {}, m_random);
    if (!chosen.empty() && !m_sync) {
        start_sync(now, chosen.front(), 0, registry);
    }
}

/**
 * Hosts that rely on relays compare their state with the relays, and occasionally with any host, in case
 * the relay has failed.
 */
std::vector<host_id> failure_detector::sync_candidates() {
    constexpr double share_with_any = 0.125;
    const bool any =
        m_state.dissemination() != dissemination_mode::relayed || m_random.chance(share_with_any);
    const update_relays& relays = m_state.relays();
    if (any || (relays.is_relay() && relays.other_relays().empty())) {
        return m_state.hosts().running();
    }
    return relays.is_relay() ? relays.other_relays() : std::vector<host_id>{relays.own_relay()};
}

} // namespace tamarack
