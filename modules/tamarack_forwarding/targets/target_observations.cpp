#include "target_observations.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/** Weight of one observation in the exponentially weighted means. */
constexpr double speed_weight = 0.1;
constexpr double error_weight = 0.15;
/** Cap on the relative time of one observation, so that a single pause does not mark a target as slow. */
constexpr double max_relative_time = 6.0;
constexpr double min_speed = 0.3;
/** Time without use in which a share of failures decays to 1/e, so that the target is tried again. */
constexpr duration error_decay_time = 3s;
/** Number of consecutive failures after which a target is ejected. */
constexpr std::uint32_t failures_to_eject = 3;
constexpr duration first_ejection = 500ms;
constexpr std::uint32_t max_doublings = 3;

} // namespace

double error_share_of(const engine_target& target, time_point now) {
    const double age = static_cast<double>((now - target.error_at).count());
    return target.error_share * std::exp(-age / static_cast<double>(error_decay_time.count()));
}

void observe_success(engine_target& target, time_point now, duration taken, duration median_time) {
    const double relative =
        static_cast<double>(taken.count()) / std::max(1.0, static_cast<double>(median_time.count()));
    target.speed += speed_weight * (std::min(relative, max_relative_time) - target.speed);
    target.speed = std::max(target.speed, min_speed);
    target.error_share = error_share_of(target, now) * (1.0 - error_weight);
    target.error_at = now;
    target.failures_in_row = 0;
    target.ejected_until = time_point{};
}

void observe_failure(engine_target& target, time_point now) {
    const double before = error_share_of(target, now);
    target.error_share = before + error_weight * (1.0 - before);
    target.error_at = now;
    ++target.failures_in_row;
    if (target.failures_in_row >= failures_to_eject) {
        const std::uint32_t doublings = std::min(target.failures_in_row - failures_to_eject, max_doublings);
        target.ejected_until = now + first_ejection * (1U << doublings);
    }
}

void observe_load(engine_target& target, time_point now, const std::optional<target_load>& load) {
    if (!load) {
        return;
    }
    target.load = load;
    target.load_at = now;
    target.sent_since_load = 0;
}

} // namespace tamarack
