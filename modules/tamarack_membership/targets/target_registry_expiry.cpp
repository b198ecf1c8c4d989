#include "record_versions.h"
#include "target_registry.h"

#include <algorithm>
#include <set>

namespace tamarack {

void target_registry::on_timer(time_point now) {
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const target_id target = m_deadlines.begin()->second;
        on_deadline(now, m_entries.at(target));
    }
}

void target_registry::on_deadline(time_point now, entry& current) {
    const bool restored = current.record.registrar.empty();
    if (!current.record.alive || restored) {
        erase(target_id{current.record.latest.target});
        return;
    }
    if (in_grace_period(now)) {
        const time_point grace = m_isolated ? now + m_options.grace_after_isolation : m_grace_ends;
        set_deadline(current, grace + 1us);
        return;
    }
    m_index.remove(current.record.latest);
    current.record.alive = false;
    current.record.version = version_of(current.received_sequence, false);
    current.changed_at = now;
    ++m_generation;
    if (current.registered_here) {
        publish_change(now, current);
    }
    set_registered_here(current, false);
    set_deadline(current, now + m_options.forget_after);
    m_index.add(current.record.latest, current.record.alive);
}

bool target_registry::in_grace_period(time_point now) const {
    return m_options.protections.grace && (m_isolated || now < m_grace_ends);
}

time_point target_registry::next_timer() const {
    return m_deadlines.empty() ? time_point::max() : m_deadlines.begin()->first;
}

void target_registry::on_isolation(time_point now, bool isolated) {
    if (m_isolated && !isolated) {
        m_grace_ends = now + m_options.grace_after_isolation;
    }
    m_isolated = isolated;
}

void target_registry::on_hosts(time_point now, const std::vector<host_record>& hosts) {
    if (!m_registrars.on_hosts(hosts)) {
        return;
    }
    for (auto& [target, current] : m_entries) {
        if (!current.record.alive || current.registered_here) {
            continue;
        }
        const bool running = m_registrars.is_running(current.record.registrar);
        if (!running && !current.has_deadline) {
            mark_orphaned(now, current);
        } else if (running && current.has_deadline) {
            clear_deadline(current);
        }
    }
}

void target_registry::on_host_lost(time_point now, const host_id& host) {
    m_registrars.on_host_lost(host);
    for (auto& [target, current] : m_entries) {
        if (current.record.alive && !current.registered_here && current.record.registrar == host) {
            mark_orphaned(now, current);
        }
    }
}

void target_registry::on_registered_list(time_point now, const host_id& registrar,
                                         const std::vector<target_id>& registered) {
    const std::set<target_id> listed{registered.begin(), registered.end()};
    for (auto& [target, current] : m_entries) {
        const bool believed =
            current.record.alive && !current.registered_here && current.record.registrar == registrar;
        if (believed && listed.count(target) == 0 && !current.has_deadline) {
            mark_orphaned(now, current);
        }
    }
}

void target_registry::mark_orphaned(time_point now, entry& current) {
    const duration wait = m_options.protections.wait_for_new_registrar ? m_options.orphan_time : duration{0};
    set_deadline(current, std::max(now, m_grace_ends) + wait);
}

} // namespace tamarack
