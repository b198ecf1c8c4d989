#include "failure_detector.h"

#include <algorithm>
#include <utility>

namespace tamarack {

membership_actions failure_detector::replicate(time_point now, const target_id& target,
                                               target_registry& registry,
                                               update_replication::completion completed) {
    const target_record* record = registry.find(target);
    require_invariant(record != nullptr, "a replicated target is known");
    std::vector<host_id> candidates = replication_candidates();
    if (candidates.empty()) {
        const bool seed_missing = std::ranges::any_of(
            m_seeds, [this](const host_record& seed) { return !m_state.runs_at(seed.hosts_address); });
        const bool others_may_run = m_isolation.isolated() || (!m_joined && seed_missing);
        completed(others_may_run
                      ? outcome<done>{error{error_code::unavailable, "no other host is in contact"}}
                      : outcome<done>{done{}});
        return {};
    }
    m_replication.begin(now, *record, std::move(candidates), std::move(completed));
    send_replicated();
    return take_actions(now);
}

/** Prefers hosts that are not about to stop, and those that answer probes. */
std::vector<host_id> failure_detector::replication_candidates() {
    const std::vector<host_id>& running = m_state.hosts().running();
    std::vector<host_id> candidates = choose_hosts(running, running.size(), {}, m_random);
    std::stable_partition(candidates.begin(), candidates.end(), [this](const host_id& host) {
        const host_record* record = m_state.hosts().find(host);
        return record->state == host_state::alive && !record->draining;
    });
    return candidates;
}

void failure_detector::send_replicated() {
    for (update_replication::request& request : m_replication.take_requests()) {
        request.record.latest.load = {};
        update_push push{m_state.self().host, {}, request.number};
        push.updates.targets.push_back(std::move(request.record));
        send(request.to, std::move(push));
    }
}

/** The sender may be lost at any time after the confirmation, so this host forwards what it confirms. */
void failure_detector::confirm(time_point now, const update_push& message, const target_registry& registry) {
    const auto& received = message.updates.targets;
    const bool holds_all = std::ranges::all_of(
        received, [&registry](const target_record& record) { return registry.covers(record); });
    if (!holds_all) {
        return;
    }
    for (const target_record& record : received) {
        m_state.forward_to_all(now, record);
    }
    send(message.from, push_confirmation{message.confirmation, m_state.self().host});
}

void failure_detector::handle(time_point /*now*/, const push_confirmation& message,
                              target_registry& /*registry*/) {
    m_replication.on_confirmation(message.number, message.from);
}

} // namespace tamarack
