#include "forwarding_inputs_builder.h"

#include <tamarack_telemetry/tamarack_telemetry.h>

#include <algorithm>

namespace tamarack {

namespace {

bool is_same_entry(const host_record& left, const host_record& right) {
    return left.host == right.host && left.callers_address == right.callers_address;
}

} // namespace

forwarding_inputs_builder::forwarding_inputs_builder(const settings& host_settings, time_point started)
    : m_settings(host_settings), m_started(started),
      m_allowance(host_settings.host, host_settings.forwarding.extra_window,
                  host_settings.formation.first_start ? earlier_processes::none
                                                      : earlier_processes::possible),
      m_evacuations(host_settings.edge.kind == edge_kind::platform &&
                        !host_settings.formation.data_centers.empty(),
                    started),
      m_sent_may_send(m_evacuations.may_send(started)) {}

bool forwarding_inputs_builder::on_hosts(time_point now, const std::vector<host_record>& hosts,
                                         bool isolated) {
    std::vector<host_record> running;
    for (const host_record& host : hosts) {
        if (host.state == host_state::alive || host.state == host_state::suspect) {
            running.push_back(host);
        }
    }
    active_hosts selection;
    if (m_settings.forwarding.mechanisms.has(forwarding_mechanism::active_subset)) {
        selection = choose_active_hosts(std::move(running));
    } else {
        selection.active = std::move(running);
    }
    sharing_hosts sharing;
    std::vector<host_record> entries;
    for (const host_record& host : selection.active) {
        sharing.active.push_back(host.host);
        if (host.state == host_state::alive && !host.draining && !host.callers_address.empty()) {
            entries.push_back(host);
        }
    }
    sharing.standby = std::move(selection.standby);
    const bool same = sharing == m_sharing_hosts && std::ranges::equal(entries, m_entries, is_same_entry);
    if (sharing.active.size() != m_sharing_hosts.active.size()) {
        log_state_change(log_level::info, "active_hosts_changed", m_routes_ticket,
                         {{"active", std::to_string(sharing.active.size())},
                          {"standby", std::to_string(sharing.standby.size())},
                          {"load", std::to_string(selection.load)}});
    }
    m_allowance.on_sharing_hosts(now, sharing);
    m_limit_sharing.on_hosts(now, sharing.active, isolated);
    m_sharing_hosts = std::move(sharing);
    m_is_active =
        std::ranges::find(m_sharing_hosts.standby, m_settings.host) == m_sharing_hosts.standby.end();
    m_entries = std::move(entries);
    return !same;
}

bool forwarding_inputs_builder::on_time(time_point now) {
    const bool discovery_ended = now >= m_started + discovery_time;
    const bool just_ended = discovery_ended && !std::exchange(m_discovery_ended, true);
    const bool limit_hosts_changed = m_limit_hosts && *m_limit_hosts != m_limit_sharing.hosts(now);
    return m_allowance.part(now) != m_sent_allowance || just_ended || limit_hosts_changed ||
           m_evacuations.may_send(now) != m_sent_may_send;
}

forwarding_inputs forwarding_inputs_builder::build(time_point now, const shared_configuration& current,
                                                   const target_registry& registry, bool in_directory) {
    if (current->routes && m_routes_ticket != current->number) {
        m_routes = std::shared_ptr<const route_table>{current, &*current->routes};
        m_routes_ticket = current->number;
    }
    auto view = std::make_shared<forwarding_view>();
    view->ticket = current->number;
    view->routes = m_routes;
    m_sent_allowance = m_allowance.part(now);
    view->allowance = m_sent_allowance;
    if (m_discovery_ended) {
        m_limit_hosts = std::make_shared<const std::vector<host_id>>(m_limit_sharing.hosts(now));
    }
    view->limit_hosts = m_limit_hosts;
    view->serving_hosts = m_limit_sharing.hosts(now);
    view->takes_callers = m_is_active;
    m_sent_may_send = m_evacuations.may_send(now);
    view->evacuations_known = m_sent_may_send;
    view->evacuated = m_evacuations.evacuated();
    view->targets = list_targets(now, registry);
    return {std::move(view), std::make_shared<const std::vector<host_record>>(m_entries), in_directory};
}

std::vector<forwarding_target> forwarding_inputs_builder::list_targets(time_point now,
                                                                       const target_registry& registry) {
    std::vector<forwarding_target> targets;
    if (!m_routes) {
        return targets;
    }
    m_warmup_ends.begin_listing();
    for (const routed_service& service : m_routes->services) {
        for (const target_record& record : registry.usable(service.id)) {
            const announcement& latest = record.latest;
            const time_point warm = m_warmup_ends.warm_at(now, record);
            forwarding_target target{latest.target,      latest.incarnation, latest.service, latest.address,
                                     latest.data_center, latest.slots,       warm,           0};
            target.connections = m_is_active
                                     ? connection_share(service.connections, m_sharing_hosts, m_settings.host,
                                                        latest.target, now - m_started)
                                     : connections_on_standby;
            target.connected_hosts = connected_hosts(service.connections, m_sharing_hosts);
            if (target.connections > 0) {
                targets.push_back(std::move(target));
            }
        }
    }
    m_warmup_ends.end_listing();
    return targets;
}

bool forwarding_inputs_builder::may_enter_directory(time_point now, const configuration& current,
                                                    bool confirmed, const target_registry& registry) {
    directory_admission_inputs inputs;
    inputs.routes = current.routes ? &*current.routes : nullptr;
    inputs.routes_confirmed = confirmed;
    inputs.has_targets = [&registry](const service_id& service) { return !registry.usable(service).empty(); };
    inputs.others_listed = std::ranges::any_of(
        m_entries, [this](const host_record& host) { return host.host != m_settings.host; });
    return m_directory_admission.may_enter(now, inputs) && m_evacuations.may_send(now);
}

} // namespace tamarack
