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
            m_entries.at(record.latest.target).restored_here = true;
        }
    }
}

/**
 * Accepts a restored record only if nothing else is known about the target, and only shortly after the
 * start: later, other hosts may have removed the record of its end.
 */
bool target_registry::merge_restored(time_point now, const target_record& saved) {
    const bool known = m_entries.contains(saved.latest.target) || m_index.address_taken(saved.latest);
    if (known || !saved.alive || now >= m_grace_ends || m_entries.size() >= m_options.targets) {
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
    entry& known = found->second;
    if (change.latest.incarnation == known.record.latest.incarnation) {
        known.record.incarnation_order = std::max(known.record.incarnation_order, change.incarnation_order);
    }
    const bool now_draining = m_options.incarnations_are_start_times &&
                              change.latest.incarnation == known.record.latest.incarnation &&
                              change.latest.state == target_state::draining &&
                              known.record.latest.state != target_state::draining;
    if (now_draining) {
        mark_draining(now, known);
    }
    if (!is_newer(change, known.record)) {
        return now_draining;
    }
    const bool received_later = known.registered_here && known.record.alive &&
                                change.latest.incarnation == known.record.latest.incarnation &&
                                change.version < version_of(known.received_sequence, true);
    if (received_later) {
        publish_change(now, known);
        return now_draining;
    }
    replace(now, known, change);
    return true;
}

void target_registry::replace(time_point now, entry& known, const target_record& change) {
    const bool is_new = known.record.latest.target.empty();
    if (!is_new) {
        m_index.remove(known.record.latest);
        if (known.record.latest.incarnation != change.latest.incarnation &&
            change.incarnation_order > known.record.incarnation_order) {
            end_incarnation(known, known.record.latest.incarnation);
        }
    }
    const bool same_incarnation = !is_new && known.record.latest.incarnation == change.latest.incarnation;
    const std::uint64_t incarnation_order =
        same_incarnation ? std::max(known.record.incarnation_order, change.incarnation_order)
                         : change.incarnation_order;
    const bool stays_draining = !is_new && is_permanently_draining(known, change.latest.incarnation);
    known.record = change;
    known.record.incarnation_order = incarnation_order;
    if (stays_draining) {
        known.record.latest.state = target_state::draining;
    }
    known.received_sequence = change.latest.sequence;
    known.record.latest.load = {};
    known.changed_at = now;
    if (change.version == final_version) {
        end_incarnation(known, change.latest.incarnation);
    }
    m_index.add(known.record.latest, known.record.alive);
    ++m_generation;
    set_registered_here(known, change.alive && change.registrar == m_self);
    if (!change.alive) {
        set_deadline(known, now + m_options.forget_after);
    } else if (known.registered_here) {
        set_deadline(known, std::max(now, m_grace_ends) + m_options.target_lease);
    } else if (!m_registrars.is_running(change.registrar)) {
        mark_orphaned(now, known);
    } else {
        clear_deadline(known);
    }
}

void target_registry::end_incarnation(entry& known, incarnation_id incarnation) const {
    known.ended.push_back(incarnation);
    if (known.ended.size() > m_options.ended_incarnations) {
        known.ended.erase(known.ended.begin());
    }
}

} // namespace tamarack
