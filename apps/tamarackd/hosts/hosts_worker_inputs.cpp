#include "hosts_worker.h"

#include "hosts_options.h"
#include "view_builder.h"

#include <algorithm>
#include <utility>

namespace tamarack {

void hosts_worker::enter_directory(time_point now) {
    if (m_in_directory || m_leaving || m_drain_ordered || !serves_callers(m_settings)) {
        return;
    }
    if (m_settings.edge.kind == edge_kind::platform) {
        const bool confirmed = m_control->lease_ends_at() > now;
        if (m_inputs_builder->may_enter_directory(now, m_control->current(), confirmed, *m_registry)) {
            m_in_directory = true;
            log_state_change(log_level::info, "entered_directory", m_control->current().number, {});
            carry_out(m_detector->set_draining(now, false));
            m_inputs_stale = true;
            finish_event();
        }
        return;
    }
    readiness_inputs inputs;
    inputs.holds_lease = m_control->lease_ends_at() > now;
    inputs.isolated = m_isolated;
    inputs.hosts_known = m_detector->hosts().size();
    inputs.assigned = is_assigned_any();
    inputs.view = m_view.get();
    if (!m_readiness.open(now, inputs)) {
        return;
    }
    m_in_directory = true;
    log_state_change(log_level::info, "entered_directory", m_control->current().number, {});
    carry_out(m_detector->set_draining(now, false));
}

void hosts_worker::apply_drain_order(time_point now) {
    const auto& orders = m_control->current().hosts;
    const auto order = orders.find(m_settings.host);
    const bool drains = order != orders.end() && order->second.intent == host_intent::draining;
    if (drains == m_drain_ordered || m_leaving) {
        return;
    }
    m_drain_ordered = drains;
    log_state_change(log_level::info, drains ? "ordered_to_drain" : "ordered_to_serve",
                     m_control->current().number, {});
    if (drains) {
        carry_out(m_detector->set_draining(now, true));
        m_directory_expired_at = now + m_settings.times.directory_keep + directory_margin;
        return;
    }
    m_directory_expired_at = time_point::max();
    m_in_directory = false;
    carry_out(m_control->set_draining(now, false));
}

bool hosts_worker::is_assigned(const host_id& host, const service_id& service) const {
    const auto& services = m_control->assigned().services;
    const auto found = services.find(service);
    return found != services.end() &&
           std::find(found->second.begin(), found->second.end(), host) != found->second.end();
}

bool hosts_worker::is_assigned_any() const {
    const auto& services = m_control->assigned().services;
    return std::any_of(services.begin(), services.end(),
                       [this](const auto& service) { return is_assigned(m_settings.host, service.first); });
}

void hosts_worker::send_inputs(time_point now) {
    m_next_inputs = time_point::max();
    const bool stale = m_inputs_stale || m_registry->generation() != m_sent_generation;
    m_sent_generation = m_registry->generation();
    m_inputs_stale = false;
    m_hosts_stale = false;
    if (m_settings.edge.kind == edge_kind::platform) {
        const bool hosts_changed = m_inputs_builder->on_hosts(now, m_detector->hosts(), m_isolated);
        m_inputs_builder->on_evacuations(m_control->evacuations(), m_control->evacuations_known());
        if (!stale && !hosts_changed) {
            return;
        }
        m_inputs_stale = !m_hooks.to_forwarding(m_inputs_builder->build(
            now, m_control->shared_current(), *m_registry, m_in_directory && !m_leaving));
        return;
    }
    auto directory = std::make_shared<directory_view>();
    const view_sources sources{m_settings.host, m_settings.data_center, *m_control, *m_registry};
    directory->hosts = m_detector->hosts();
    directory->assigned = assigned_in_reach(sources);
    directory->ticket = m_control->current().number;
    built_view built = build_serving_view(sources, now);
    m_view = built.view;
    serving_inputs inputs{std::move(built.view), std::move(directory), std::move(built.cancellable)};
    if (!m_hooks.to_serving(std::move(inputs))) {
        m_inputs_stale = true;
    }
}

} // namespace tamarack
