#include "record_versions.h"
#include "target_registry.h"

#include <algorithm>
#include <utility>

namespace tamarack {

std::vector<target_record> target_registry::on_changes(time_point now,
                                                       const std::vector<target_record>& changes) {
    std::vector<target_record> applied;
    for (const target_record& change : changes) {
        if (merge(now, change)) {
            applied.push_back(change);
        }
    }
    return applied;
}

void target_registry::restore(time_point now, const std::vector<target_record>& saved) {
    for (target_record record : saved) {
        record.registrar = {};
        record.latest.remaining_warmup = {};
        if (merge_restored(now, record)) {
            m_entries.at(record.latest.target).restored_from_own_disk = true;
        }
    }
}

/**
 * Accepts a restored record only if nothing else is known about the target, and only shortly after the
 * start: after that, the target may have ended and other hosts may have removed the record of its end.
 */
bool target_registry::merge_restored(time_point now, const target_record& saved) {
    const bool already_present =
        m_entries.contains(saved.latest.target) || m_index.address_taken(saved.latest);
    if (already_present || !saved.alive || now >= m_grace_ends || m_entries.size() >= m_options.targets) {
        return false;
    }
    entry& added = m_entries[saved.latest.target];
    added.record = saved;
    added.received_sequence = saved.latest.sequence;
    added.changed_at = now;
    m_index.add(added.record.latest, true);
    set_deadline(added, m_grace_ends);
    ++m_generation;
    return true;
}

bool target_registry::merge(time_point now, const target_record& change) {
    if (change.registrar.empty()) {
        merge_restored(now, change);
        return false;
    }
    const auto found = m_entries.find(change.latest.target);
    if (found == m_entries.end()) {
        const bool accepted = change.alive && m_entries.size() < m_options.targets;
        if (!accepted) {
            return false;
        }
        replace(now, m_entries[change.latest.target], change);
        return true;
    }
    entry& current = found->second;
    if (change.latest.incarnation == current.record.latest.incarnation) {
        current.record.incarnation_order =
            std::max(current.record.incarnation_order, change.incarnation_order);
    }
    const bool now_draining = m_options.incarnations_are_start_times &&
                              change.latest.incarnation == current.record.latest.incarnation &&
                              change.latest.state == target_state::draining &&
                              current.record.latest.state != target_state::draining;
    if (now_draining) {
        mark_draining(now, current);
    }
    if (!is_newer(change, current.record)) {
        return now_draining;
    }
    const bool received_later = current.registered_here && current.record.alive &&
                                change.latest.incarnation == current.record.latest.incarnation &&
                                change.version < version_of(current.received_sequence, true);
    if (received_later) {
        publish_change(now, current);
        return now_draining;
    }
    replace(now, current, change);
    return true;
}

void target_registry::replace(time_point now, entry& current, const target_record& change) {
    const bool is_new = current.record.latest.target.empty();
    if (!is_new) {
        m_index.remove(current.record.latest);
        if (current.record.latest.incarnation != change.latest.incarnation &&
            change.incarnation_order > current.record.incarnation_order) {
            end_incarnation(current, current.record.latest.incarnation);
        }
    }
    const bool same_incarnation = !is_new && current.record.latest.incarnation == change.latest.incarnation;
    const std::uint64_t incarnation_order =
        same_incarnation ? std::max(current.record.incarnation_order, change.incarnation_order)
                         : change.incarnation_order;
    const bool stays_draining = !is_new && is_permanently_draining(current, change.latest.incarnation);
    current.record = change;
    current.record.incarnation_order = incarnation_order;
    if (stays_draining) {
        current.record.latest.state = target_state::draining;
    }
    current.received_sequence = change.latest.sequence;
    current.record.latest.load = {};
    current.changed_at = now;
    current.replicated = false;
    if (change.version == final_version) {
        end_incarnation(current, change.latest.incarnation);
    }
    m_index.add(current.record.latest, current.record.alive);
    ++m_generation;
    set_registered_here(current, change.alive && change.registrar == m_self);
    if (!change.alive) {
        set_deadline(current, now + m_options.forget_after);
    } else if (current.registered_here) {
        set_deadline(current, std::max(now, m_grace_ends) + m_options.target_lease);
    } else if (!m_registrars.is_running(change.registrar)) {
        mark_orphaned(now, current);
    } else {
        clear_deadline(current);
    }
}

void target_registry::end_incarnation(entry& current, incarnation_id incarnation) const {
    current.ended.push_back(incarnation);
    if (current.ended.size() > m_options.ended_incarnations) {
        current.ended.erase(current.ended.begin());
    }
}

} // namespace tamarack
