#include "part_dispatcher.h"

#include "../targets/target_observations.h"

#include <algorithm>

namespace tamarack {

namespace {

/** @return when one of the wanted targets of a service may be sent an exchange, or std::nullopt if never */
template <typename Wanted>
std::optional<time_point> earliest_use(const engine_service& service, time_point now, Wanted wanted) {
    std::optional<time_point> earliest;
    for (const engine_target_pointer& target : service.targets) {
        const bool usable = target->usable && (target->limit.has_share() || target->limit.allows(now));
        if (!usable || !wanted(target)) {
            continue;
        }
        const time_point at = target->allowed_at(now);
        if (at <= now) {
            return now;
        }
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

} // namespace

bool part_dispatcher::has_untried(const run_part& part, time_point latest) const {
    return std::any_of(part.service->targets.begin(), part.service->targets.end(),
                       [&](const engine_target_pointer& target) {
                           return target->is_available(m_core.now) && !part.was_tried(target) &&
                                  target->limit.allowed_at(m_core.now) <= latest;
                       });
}

bool part_dispatcher::has_available(const engine_service& service) const {
    return std::any_of(service.targets.begin(), service.targets.end(),
                       [&](const engine_target_pointer& target) { return target->is_available(m_core.now); });
}

bool part_dispatcher::is_limited(const engine_service& service) const {
    const auto& targets = service.targets;
    const auto limited = [](const engine_target_pointer& target) { return target->limit.in_force(); };
    return std::any_of(targets.begin(), targets.end(), limited) &&
           std::none_of(targets.begin(), targets.end(), [&](const engine_target_pointer& target) {
               return target->is_available(m_core.now) && !limited(target);
           });
}

std::optional<time_point> part_dispatcher::available_at(const engine_service& service) const {
    return earliest_use(service, m_core.now, [](const engine_target_pointer&) { return true; });
}

std::optional<time_point> part_dispatcher::available_at(const run_part& part) const {
    return earliest_use(*part.service, m_core.now,
                        [&](const engine_target_pointer& target) { return !part.was_tried(target); });
}

bool part_dispatcher::has_free_target(const run_part& part) {
    const auto& targets = part.service->targets;
    return std::any_of(targets.begin(), targets.end(), [&](const engine_target_pointer& target) {
        return target->usable && !target->idle.empty() && !part.was_tried(target);
    });
}

placement_candidate part_dispatcher::describe(const engine_target& target) const {
    placement_candidate candidate;
    candidate.slots = target.info.slots;
    candidate.own_exchanges = static_cast<std::uint32_t>(target.busy);
    if (target.load && m_core.uses(forwarding_mechanism::load_reports)) {
        candidate.reported = target.load->running + target.load->waiting + target.sent_since_load;
        candidate.report_age = m_core.now - target.load_at;
    }
    candidate.speed = m_core.uses(forwarding_mechanism::speed_estimate) ? target.speed : 1.0;
    if (target.load) {
        candidate.speed *= target.load->slowness;
    }
    if (m_core.uses(forwarding_mechanism::error_share)) {
        candidate.error_share = error_share_of(target, m_core.now);
    }
    candidate.far = target.far && m_core.uses(forwarding_mechanism::near_targets);
    candidate.cold = m_core.now < target.warm_at() && m_core.uses(forwarding_mechanism::cold_targets);
    candidate.ejected = m_core.now < target.ejected_until && m_core.uses(forwarding_mechanism::ejection);
    if (!target.running_since.empty() && m_core.uses(forwarding_mechanism::stall_detection)) {
        candidate.oldest_exchange = m_core.now - target.running_since.front();
    }
    return candidate;
}

std::optional<duration> part_dispatcher::expected_wait(const engine_service& service,
                                                       const placement_demand& demand) const {
    std::optional<duration> shortest;
    std::size_t parallel = 0;
    for (const engine_target_pointer& target : service.targets) {
        const placement_candidate candidate = describe(*target);
        if (!target->is_available(m_core.now) || candidate.ejected || is_stalled(candidate, demand)) {
            continue;
        }
        if (!target->limit.in_force()) {
            parallel += m_core.connections_allowed(*target);
        }
        const duration wait = queue_wait(candidate, demand);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    if (!shortest) {
        return std::nullopt;
    }
    if (is_limited(service)) {
        return std::max(*shortest, wait_for_limits(service));
    }
    parallel = std::max<std::size_t>(parallel, 1);
    const double rounds = static_cast<double>(service.waiting.size()) / static_cast<double>(parallel);
    return *shortest +
           duration{static_cast<std::int64_t>(rounds * static_cast<double>(demand.median_time.count()))};
}

waiting_part part_dispatcher::describe_wait(const forwarding_run& run, std::size_t part,
                                            trace_step step) const {
    waiting_part item;
    item.request = run.request.number;
    item.part = part;
    item.priority = run.priority;
    item.objective_at = run.times.objective_at;
    item.step = step;
    if (run.table->requires_keys && m_core.uses(forwarding_mechanism::team_fairness)) {
        item.team = run.team_name();
        item.work = static_cast<double>(run.timing->median().count());
    }
    return item;
}

/** Every host that may have connections to a target is expected to use the same share of its slots. */
duration part_dispatcher::completion_interval(const engine_service& service, duration median_time) const {
    double slots = 0.0;
    for (const engine_target_pointer& target : service.targets) {
        if (target->is_available(m_core.now)) {
            slots += static_cast<double>(std::max(target->info.slots, 1U)) /
                     static_cast<double>(std::max<std::size_t>(target->info.connected_hosts, 1));
        }
    }
    return slots > 0.0 ? duration{static_cast<std::int64_t>(static_cast<double>(median_time.count()) / slots)}
                       : median_time;
}

duration part_dispatcher::wait_for_limits(const engine_service& service) const {
    struct next_exchange {
        const request_limit* limit;
        std::size_t number; ///< counted from now
    };
    std::vector<next_exchange> next;
    for (const engine_target_pointer& target : service.targets) {
        if (target->is_available(m_core.now)) {
            next.push_back({&target->limit, 1});
        }
    }
    const auto allowed_at = [this](const next_exchange& item) {
        return item.limit->allowed_at(m_core.now, item.number);
    };
    time_point at = m_core.now;
    for (std::size_t ahead = 0; ahead <= service.waiting.size() && !next.empty(); ++ahead) {
        const auto first = std::ranges::min_element(next, {}, allowed_at);
        at = allowed_at(*first);
        ++first->number;
    }
    return at - m_core.now;
}

} // namespace tamarack
