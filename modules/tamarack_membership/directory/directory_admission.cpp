#include "directory_admission.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Maximum time that a host waits: a service may have no targets, and the control hosts may be out of reach.
 */
constexpr duration max_wait = 2s;

bool is_servable(const route& item, const std::function<bool(const service_id&)>& has_targets) {
    const auto known = std::ranges::count_if(
        item.services, [&](const route_service& part) { return has_targets(part.service); });
    const double least_share = item.destination == route_destination::shards ? item.least_coverage : 1.0;
    return static_cast<std::size_t>(known) >= parts_needed(least_share, item.services.size());
}

} // namespace

bool directory_admission::may_enter(time_point now, const directory_admission_inputs& inputs) {
    if (inputs.routes == nullptr) {
        return false;
    }
    m_first_routes_at = std::min(m_first_routes_at, now);
    const auto servable = [&](const route& item) { return is_servable(item, inputs.has_targets); };
    const bool enough = inputs.others_listed ? std::ranges::all_of(inputs.routes->routes, servable)
                                             : std::ranges::any_of(inputs.routes->routes, servable);
    return (enough && inputs.routes_confirmed) || now >= m_first_routes_at + max_wait;
}

} // namespace tamarack
