#include "target_list.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

void target_list::update_services(const forwarding_view& view) {
    std::set<service_id> routed;
    for (const route& item : view.routes->routes) {
        for (const route_service& part : item.services) {
            routed.insert(part.service);
        }
    }
    for (const routed_service& listed : view.routes->services) {
        if (!routed.contains(listed.id)) {
            continue;
        }
        auto& service = m_core.services[listed.id];
        if (!service) {
            service = std::make_shared<engine_service>(listed.id, m_core.budget_of(listed.id));
        }
        service->warmup_rate = listed.warmup_requests_per_second;
    }
    for (auto item = m_core.services.begin(); item != m_core.services.end();) {
        if (routed.contains(item->first)) {
            ++item;
            continue;
        }
        const engine_service_pointer left = item->second;
        item = m_core.services.erase(item);
        for (const engine_target_pointer& target : std::vector<engine_target_pointer>{left->targets}) {
            remove(target, target_change::removed);
        }
    }
    m_core.drop_idle_budgets();
}

void target_list::update_targets(const forwarding_view& view) {
    std::set<std::string> listed;
    for (const forwarding_target& item : view.targets) {
        if (!m_core.services.contains(item.service)) {
            continue;
        }
        if (m_core.withheld.has_left(item.id, item.incarnation) || is_evacuated(item.data_center)) {
            continue;
        }
        listed.insert(item.id.value());
        const auto found = m_core.targets.find(item.id.value());
        if (found == m_core.targets.end()) {
            add(item);
            continue;
        }
        const engine_target_pointer existing = found->second;
        const bool same = existing->info.incarnation == item.incarnation &&
                          existing->info.address == item.address && existing->info.service == item.service;
        if (!same) {
            remove(existing, target_change::removed);
            add(item);
        } else {
            existing->info.slots = item.slots;
            existing->info.warm_at = item.warm_at;
            existing->info.connections = item.connections;
            existing->info.connected_hosts = item.connected_hosts;
            m_limits.update_share(*existing);
        }
    }
    std::vector<engine_target_pointer> gone;
    for (const auto& [id, target] : m_core.targets) {
        if (!listed.contains(id)) {
            gone.push_back(target);
        }
    }
    for (const engine_target_pointer& target : gone) {
        const bool evacuated = is_evacuated(target->info.data_center);
        remove(target, evacuated ? target_change::evacuated : target_change::removed);
    }
}

bool target_list::is_evacuated(const data_center_id& data_center) const {
    return std::ranges::find(m_core.view->evacuated, data_center) != m_core.view->evacuated.end();
}

void target_list::add(const forwarding_target& listed) {
    auto target = std::make_shared<engine_target>();
    target->info = listed;
    target->far = listed.data_center != m_core.options.data_center;
    target->backoff = m_core.withheld.backoff_of(listed.id, listed.incarnation);
    engine_service& service = *m_core.services.at(listed.service);
    target->service = &service;
    m_limits.on_added(*target);
    service.targets.push_back(target);
    m_core.targets[listed.id.value()] = target;
    m_core.report_target_change(target_change::added, *target);
    m_losses.on_target_announced(listed);
}

void target_list::remove(const engine_target_pointer& target, target_change change) {
    if (target->usable) {
        m_core.report_target_change(change, *target);
    }
    if (target->backoff.is_in_backoff(m_core.now)) {
        m_core.withheld.save_backoff(target->info.id, target->info.incarnation, target->backoff);
    }
    m_limits.on_removed(*target);
    target->usable = false;
    if (target->service != nullptr) {
        std::erase(target->service->targets, target);
        target->service = nullptr;
    }
    for (const target_connection connection : std::vector<target_connection>{target->idle}) {
        m_dispatcher.close(connection);
    }
    const auto found = m_core.targets.find(target->info.id.value());
    if (found != m_core.targets.end() && found->second == target) {
        m_core.targets.erase(found);
    }
}

} // namespace tamarack
