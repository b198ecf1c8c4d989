#include "locality_router.h"

#include <algorithm>
#include <cstddef>

namespace tamarack {

namespace {

/** @return whether one of the targets on a side is neither ejected nor stalled */
bool has_fit(const placement_choice& choice, const placement_demand& demand, bool far) {
    for (std::size_t index = 0; index < choice.targets.size(); ++index) {
        const placement_candidate& candidate = choice.candidates[index];
        if (choice.targets[index]->far == far && !candidate.ejected && !is_stalled(candidate, demand)) {
            return true;
        }
    }
    return false;
}

void keep_side(placement_choice& choice, bool far) {
    std::size_t kept = 0;
    for (std::size_t index = 0; index < choice.targets.size(); ++index) {
        if (choice.targets[index]->far == far) {
            choice.targets[kept] = choice.targets[index];
            choice.candidates[kept] = choice.candidates[index];
            ++kept;
        }
    }
    choice.targets.resize(kept);
    choice.candidates.resize(kept);
}

} // namespace

bool locality_router::is_in_use() const {
    return m_core.options.locality == locality_mode::adaptive &&
           m_core.uses(forwarding_mechanism::near_targets) && m_core.uses(forwarding_mechanism::locality);
}

bool locality_router::select_side(engine_service& service, placement_choice& choice,
                                  const placement_demand& demand) {
    m_both_sides = false;
    const auto is_near = [](const engine_target_pointer& target) { return target->usable && !target->far; };
    if (std::ranges::none_of(service.targets, is_near)) {
        return false;
    }
    review(service);
    const bool near_fit = has_fit(choice, demand, false);
    const bool far_fit = has_fit(choice, demand, true);
    m_both_sides = near_fit && far_fit;
    if (near_fit || far_fit) {
        keep_side(choice, far_fit && (!near_fit || service.locality->is_next_far()));
    }
    return !near_fit && std::ranges::any_of(service.targets, [&](const engine_target_pointer& target) {
        return is_near(target) && target->is_available(m_core.now) && target->idle.empty();
    });
}

void locality_router::review(engine_service& service) {
    if (!service.locality) {
        service.locality.emplace(m_core.now, m_core.random);
    }
    locality_controller& controller = *service.locality;
    const std::optional<locality_step> step = controller.review(m_core.now, m_core.random);
    if (!step) {
        return;
    }
    const observed_side& near_side = controller.near_side();
    const observed_side& far_side = controller.far_side();
    m_core.actions.emplace_back(locality_changed{service.id, *step, controller.fraction(), near_side.late(),
                                                 far_side.late(), near_side.load_or(0.0),
                                                 far_side.load_or(0.0)});
}

void locality_router::on_first_sent(const engine_target& target) {
    ++(target.far ? m_core.statistics.first_far : m_core.statistics.first_near);
    if (m_both_sides && target.service != nullptr && target.service->locality) {
        target.service->locality->on_sent(target.far);
    }
    m_both_sides = false;
}

void locality_router::on_reply(const engine_connection& held, const target_reply& reply) {
    if (reply.verdict != target_verdict::wrong_target) {
        observe(held, reply.verdict != target_verdict::completed, reply.load);
    }
}

void locality_router::on_unanswered(const engine_connection& held, bool failed) {
    if (failed || m_core.now - held.since > held.late_after) {
        observe(held, true, std::nullopt);
    }
}

void locality_router::observe(const engine_connection& held, bool failed,
                              const std::optional<target_load>& load) {
    const engine_target& target = *held.target;
    if (target.service == nullptr || !target.service->locality || held.late_after <= duration{0}) {
        return;
    }
    const duration taken = m_core.now - held.since;
    locality_sample sample;
    sample.late = failed || taken > held.late_after;
    sample.relative_time = static_cast<double>(taken.count()) / static_cast<double>(held.late_after.count());
    if (failed) {
        sample.relative_time = std::max(sample.relative_time, 1.0);
    }
    if (load) {
        const double slots = std::max<double>(load->slots > 0 ? load->slots : target.info.slots, 1.0);
        sample.load = (static_cast<double>(load->running) + static_cast<double>(load->waiting)) / slots;
    }
    target.service->locality->observe(m_core.now, target.far, sample);
}

} // namespace tamarack
