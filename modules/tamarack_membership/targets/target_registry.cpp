#include "target_registry.h"

#include "announcement_checks.h"
#include "record_versions.h"

#include <algorithm>
#include <tuple>

namespace tamarack {

namespace {

bool differs_beyond_load(const announcement& before, const announcement& after) {
    return before.incarnation != after.incarnation || before.state != after.state ||
           before.versions != after.versions || before.slots != after.slots ||
           before.connections != after.connections;
}

/** Difference from which a later end of a target's warm-up is disseminated. */
constexpr duration warmup_margin = 500ms;

} // namespace

bool is_newer(const target_record& record, const target_record& than) {
    if (record.latest.incarnation == than.latest.incarnation) {
        return std::tie(than.version, than.registrar) < std::tie(record.version, record.registrar);
    }
    return std::tie(than.incarnation_order, than.latest.incarnation.value) <
           std::tie(record.incarnation_order, record.latest.incarnation.value);
}

target_registry::target_registry(host_id self, registry_options options, time_point now)
    : m_self(self), m_options(options), m_registrars(std::move(self)),
      m_grace_ends(now + options.grace_after_isolation) {}

outcome<announcement_receipt> target_registry::on_announcement(time_point now, const announcement& value,
                                                               const configuration& in_force) {
    const outcome<done> checked =
        m_options.only_known_services ? check_announcement(value, in_force) : check_announcement_form(value);
    if (!succeeded(checked)) {
        return error_of(checked);
    }
    const outcome<done> consistent = check_against_records(value);
    if (!succeeded(consistent)) {
        extend_drained_record(now, value);
        return error_of(consistent);
    }
    if (m_options.incarnations_are_start_times) {
        end_others_at_address(now, value);
    }
    accept(now, m_entries[value.target], value);
    return receipt_for(value);
}

outcome<announcement_receipt> target_registry::on_heartbeat(time_point now, const target_heartbeat& value) {
    const auto found = m_entries.find(value.target);
    const bool registered = found != m_entries.end() && found->second.registered_here &&
                            found->second.record.alive &&
                            found->second.record.latest.incarnation == value.incarnation;
    if (!registered) {
        return error{error_code::not_found,
                     "full announcement required: this host is not the registrar of " + value.target.value()};
    }
    if (value.sequence <= found->second.received_sequence) {
        return error{error_code::stale,
                     "sequence must increase with each announcement within one incarnation"};
    }
    announcement repeated = found->second.record.latest;
    repeated.sequence = value.sequence;
    repeated.load = value.load;
    repeated.remaining_warmup = std::max(found->second.warm_at - now, duration{0});
    accept(now, found->second, repeated);
    return receipt_for(repeated);
}

outcome<done> target_registry::check_against_records(const announcement& value) const {
    if (auto address_free = check_address(value); !succeeded(address_free)) {
        return address_free;
    }
    const auto found = m_entries.find(value.target);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.targets) {
            return error{error_code::overloaded,
                         "limit of " + std::to_string(m_options.targets) + " known targets reached"};
        }
        return done{};
    }
    const entry& current = found->second;
    if (current.record.latest.incarnation == value.incarnation) {
        if (std::find(current.ended.begin(), current.ended.end(), value.incarnation) != current.ended.end()) {
            return error{error_code::stale, value.target.value() + " has ended in this incarnation"};
        }
        if (is_permanently_draining(current, value.incarnation) && value.state != target_state::draining) {
            return error{error_code::stale,
                         value.target.value() + " is draining until the end of this incarnation"};
        }
        announcement before = current.record.latest;
        before.sequence = std::max(before.sequence, current.received_sequence);
        return check_same_incarnation(before, value);
    }
    if (m_options.incarnations_are_start_times && value.incarnation < current.record.latest.incarnation) {
        return error{error_code::conflict,
                     "a later incarnation of " + value.target.value() + " has announced itself"};
    }
    const bool ended =
        std::find(current.ended.begin(), current.ended.end(), value.incarnation) != current.ended.end();
    if (ended && m_options.protections.refuse_ended_incarnations) {
        return error{error_code::conflict, "this incarnation of " + value.target.value() +
                                               " has ended: a later one "
                                               "has announced itself"};
    }
    return done{};
}

outcome<done> target_registry::check_address(const announcement& value) const {
    if (!m_options.protections.one_target_per_address || !m_index.address_taken(value)) {
        return done{};
    }
    const auto others = m_index.others_at(value);
    const bool latest = m_options.incarnations_are_start_times &&
                        std::all_of(others.begin(), others.end(),
                                    [&](const auto& other) { return other.second < value.incarnation; });
    if (latest) {
        return done{};
    }
    return error{error_code::conflict,
                 "address already used by another live target: " + value.address.value()};
}

void target_registry::end_others_at_address(time_point now, const announcement& value) {
    for (const auto& [other, incarnation] : m_index.others_at(value)) {
        mark_ended(now, m_entries.at(other));
    }
}

void target_registry::mark_ended(time_point now, entry& current) {
    m_index.remove(current.record.latest);
    current.record.alive = false;
    current.record.latest.state = target_state::draining;
    if (current.record.registrar.empty()) {
        current.record.registrar = m_self; // other hosts do not forward a record without a registrar
    }
    end_incarnation(current, current.record.latest.incarnation);
    set_registered_here(current, false);
    set_deadline(current, now + m_options.forget_after);
    current.replicated = false;
    m_index.add(current.record.latest, false);
    ++m_generation;
    publish_change(now, current);
    current.record.version = final_version;
}

bool target_registry::is_permanently_draining(const entry& current, incarnation_id incarnation) const {
    return m_options.incarnations_are_start_times && current.record.latest.incarnation == incarnation &&
           current.record.latest.state == target_state::draining;
}

/**
 * Extends the record of a draining target that keeps announcing itself as ready: if the record were
 * removed, the target would be accepted again.
 */
void target_registry::extend_drained_record(time_point now, const announcement& value) {
    const auto found = m_entries.find(value.target);
    if (found != m_entries.end() && !found->second.record.alive &&
        is_permanently_draining(found->second, value.incarnation)) {
        set_deadline(found->second, now + m_options.forget_after);
    }
}

void target_registry::mark_draining(time_point now, entry& current) {
    current.record.latest.state = target_state::draining;
    current.changed_at = now;
    current.replicated = false;
    ++m_generation;
}

bool target_registry::needs_replication(const target_id& target) const {
    const auto found = m_entries.find(target);
    if (found == m_entries.end() || found->second.replicated) {
        return false;
    }
    const target_record& record = found->second.record;
    return !record.alive || record.latest.state == target_state::draining;
}

void target_registry::on_replicated(const target_record& confirmed) {
    const auto found = m_entries.find(confirmed.latest.target);
    if (found == m_entries.end()) {
        return;
    }
    const target_record& record = found->second.record;
    const bool unchanged = record.latest.incarnation == confirmed.latest.incarnation &&
                           record.alive == confirmed.alive && record.latest.state == confirmed.latest.state;
    found->second.replicated = found->second.replicated || unchanged;
}

bool target_registry::covers(const target_record& change) const {
    const target_record* held = find(change.latest.target);
    if (held == nullptr) {
        return false;
    }
    if (held->latest.incarnation != change.latest.incarnation) {
        return is_newer(*held, change);
    }
    const bool covers_end = change.alive || !held->alive;
    const bool covers_draining =
        change.latest.state != target_state::draining || held->latest.state == target_state::draining;
    return covers_end && covers_draining;
}

bool target_registry::on_leaving(time_point now, const target_id& target, incarnation_id incarnation) {
    const auto found = m_entries.find(target);
    if (found == m_entries.end() || found->second.record.latest.incarnation != incarnation) {
        return false;
    }
    entry& current = found->second;
    if (current.record.latest.state == target_state::draining) {
        return false;
    }
    mark_draining(now, current);
    if (current.record.registrar.empty()) {
        current.record.registrar = m_self; // other hosts do not forward a record without a registrar
    }
    mark_due(target);
    return true;
}

outcome<done> target_registry::on_deregistration(time_point now, const target_id& target,
                                                 std::optional<incarnation_id> incarnation) {
    const auto found = m_entries.find(target);
    if (found == m_entries.end()) {
        return error{error_code::not_found, "unknown target " + target.value()};
    }
    entry& current = found->second;
    if (incarnation && *incarnation != current.record.latest.incarnation) {
        return error{error_code::stale, "another incarnation of " + target.value() + " is registered"};
    }
    if (current.record.alive) {
        mark_ended(now, current);
    }
    return done{};
}

void target_registry::accept(time_point now, entry& current, const announcement& value) {
    const bool is_new = current.record.latest.target.empty();
    const bool new_incarnation = !is_new && current.record.latest.incarnation != value.incarnation;
    const bool changed = is_new || !current.record.alive || current.record.registrar != m_self ||
                         differs_beyond_load(current.record.latest, value) ||
                         (value.remaining_warmup > duration{0} &&
                          now + value.remaining_warmup > current.warm_at + warmup_margin);
    if (!is_new) {
        m_index.remove(current.record.latest);
    }
    if (new_incarnation) {
        end_incarnation(current, current.record.latest.incarnation);
        ++current.record.incarnation_order;
    }
    if (m_options.incarnations_are_start_times) {
        current.record.incarnation_order = value.incarnation.value;
    }
    const std::uint64_t reported_sequence = current.record.latest.sequence;
    current.record.latest = value;
    current.record.latest.sequence = changed ? value.sequence : reported_sequence;
    current.received_sequence = value.sequence;
    current.record.registrar = m_self;
    current.record.alive = true;
    m_index.add(current.record.latest, current.record.alive);
    set_registered_here(current, true);
    set_deadline(current, now + m_options.target_lease);
    if (changed) {
        current.warm_at = now + value.remaining_warmup;
        current.replicated = false;
        ++m_generation;
        publish_change(now, current);
    }
}

void target_registry::publish_change(time_point now, entry& current) {
    current.record.latest.sequence = current.received_sequence;
    current.record.version = version_of(current.received_sequence, current.record.alive);
    current.changed_at = now;
    mark_due(current.record.latest.target);
}

announcement_receipt target_registry::receipt_for(const announcement& value) const {
    announcement_receipt receipt;
    for (const registrar_candidate* registrar : m_registrars.rank(value, m_options.registrars, m_isolated)) {
        receipt.announce_to.push_back(registrar->address);
    }
    const double paced_interval = static_cast<double>(m_registered_count) / m_options.heartbeats_per_second;
    const auto wanted = std::chrono::duration_cast<duration>(std::chrono::duration<double>(paced_interval));
    receipt.next_within = std::clamp(wanted, m_options.heartbeat, m_options.max_heartbeat_interval);
    return receipt;
}

std::vector<host_id> target_registry::registrars_of(const announcement& value) const {
    std::vector<host_id> hosts;
    for (const registrar_candidate* registrar : m_registrars.rank(value, m_options.registrars, m_isolated)) {
        hosts.push_back(registrar->host);
    }
    return hosts;
}

std::vector<target_record> target_registry::take_changes() {
    const std::size_t taken = std::min(m_due.size(), m_options.changes_in_message);
    std::vector<target_record> changes;
    for (std::size_t index = 0; index < taken; ++index) {
        m_due_set.erase(m_due[index]);
        const target_record* record = find(m_due[index]);
        if (record != nullptr) {
            changes.push_back(*record);
            changes.back().latest.load = {};
        }
    }
    m_due.erase(m_due.begin(), m_due.begin() + static_cast<std::ptrdiff_t>(taken));
    return changes;
}

std::vector<target_record> target_registry::records_for_new_host(bool restored) const {
    std::vector<target_record> records;
    for (const auto& [target, current] : m_entries) {
        const bool restored_from_own_disk =
            current.record.registrar.empty() && current.restored_from_own_disk;
        if (current.record.registrar == m_self || (restored && restored_from_own_disk)) {
            records.push_back(current.record);
            records.back().latest.load = {};
        }
    }
    return records;
}

std::vector<target_record> target_registry::all() const {
    std::vector<target_record> records;
    records.reserve(m_entries.size());
    for (const auto& [target, current] : m_entries) {
        records.push_back(current.record);
    }
    return records;
}

const target_record* target_registry::find(const target_id& target) const {
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<target_record> target_registry::usable(const service_id& service) const {
    std::vector<target_record> records;
    const std::set<target_id>* targets = m_index.of_service(service);
    if (targets == nullptr) {
        return records;
    }
    for (const target_id& target : *targets) {
        const target_record& record = m_entries.at(target).record;
        if (!record.alive || record.latest.state != target_state::ready) {
            continue;
        }
        if (m_index.owns_address(record.latest)) {
            records.push_back(record);
        }
    }
    return records;
}

std::vector<target_record> target_registry::registered_at(const host_id& host) const {
    std::vector<target_record> records;
    for (const auto& [target, current] : m_entries) {
        if (current.record.alive && current.record.registrar == host) {
            records.push_back(current.record);
        }
    }
    return records;
}

void target_registry::set_registered_here(entry& current, bool registered) {
    if (registered != current.registered_here) {
        m_registered_count = registered ? m_registered_count + 1 : m_registered_count - 1;
    }
    current.registered_here = registered;
}

void target_registry::set_deadline(entry& current, time_point deadline) {
    clear_deadline(current);
    current.deadline = deadline;
    current.has_deadline = true;
    m_deadlines.emplace(deadline, current.record.latest.target);
}

void target_registry::clear_deadline(entry& current) {
    if (current.has_deadline) {
        m_deadlines.erase({current.deadline, current.record.latest.target});
        current.has_deadline = false;
    }
}

void target_registry::mark_due(const target_id& target) {
    if (m_due_set.insert(target).second) {
        m_due.push_back(target);
    }
}

void target_registry::erase(const target_id& target) {
    entry& current = m_entries.at(target);
    clear_deadline(current);
    m_index.remove(current.record.latest);
    set_registered_here(current, false);
    m_entries.erase(target);
    ++m_generation;
}

} // namespace tamarack
