#include "locality_controller.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Half of the objective after the margins for the answer, which are at least a tenth of it. */
constexpr double late_share = 0.4;
/** Mean time between reviews: several exchanges take place in it, and a surge of seconds sees several steps.
 */
constexpr duration review_interval = 250ms;
constexpr double interval_spread = 0.25;
/** Change of the fraction per review, and under high pressure: a surge of seconds is over before
 * smaller steps have an effect. */
constexpr double step = 0.05;
constexpr double large_step = 0.1;
constexpr double pressure_for_large_step = 1.5;
/** The rest stays near, so that the end of a shortage there is noticed. */
constexpr double max_fraction = 0.9;
/** A fraction below this is set to zero. */
constexpr double min_fraction = 0.02;
/** Share of late near exchanges above which the fraction rises: hedges can cover no more, as the budget for
 * extra load is usually a fifth of the requests. */
constexpr double late_to_raise = 0.2;
/** Load per slot at near targets from which the fraction rises: every second slot has an exchange waiting. */
constexpr double queued_to_raise = 1.5;
/** Additional time of near exchanges, relative to the time after which they are late, that is accepted to
 * stay near: a tenth of the objective, as for the fixed cost of far targets. */
constexpr double accepted_wait = 0.25;
/** Share of late near exchanges up to which the fraction may fall; well below the share that raises it. */
constexpr double late_to_lower = 0.1;
/** Load per slot at near targets up to which they count as having room, including what returns to them. */
constexpr double near_room = 0.7;
/** Far targets have room below these, and are short above the next two; in between, the fraction is kept. */
constexpr double far_late_room = 0.1;
constexpr double far_load_room = 1.25; // few exchanges wait
constexpr double far_late_short = 0.25;
constexpr double far_load_short = 2.0; // as many exchanges wait as are processed
/** While the pressure falls after a raise, the next raise waits this long: the means lag behind by about a
 * second. */
constexpr duration effect_time = 1s;
/** Minimum time between steps down when near targets report room, and otherwise. */
constexpr duration lower_interval = 500ms;
constexpr duration probe_interval = 2s;
/** Time without a raise after far targets were short, extended by a random time of up to the same length. */
constexpr duration hold_time = 2s;
/** Without first exchanges for this long, the reasons for the fraction are outdated. */
constexpr duration idle_time = 10s;

duration next_interval(random_source& random) {
    const auto spread =
        duration{static_cast<std::int64_t>(interval_spread * static_cast<double>(review_interval.count()))};
    return review_interval + random.between(-spread, spread);
}

} // namespace

duration locality_late_after(duration objective) {
    return duration{static_cast<std::int64_t>(late_share * static_cast<double>(objective.count()))};
}

locality_controller::locality_controller(time_point now, random_source& random)
    : m_review_at(now + random.between(duration{0}, review_interval)), m_reviewed_at(now), m_changed_at(now) {
}

void locality_controller::observe(time_point now, bool far, const locality_sample& sample) {
    (far ? m_far : m_near).observe(now, sample);
}

bool locality_controller::distance_pays(time_point now) const {
    return !m_far.is_known(now) || m_near.relative_time() - m_far.relative_time() >= accepted_wait;
}

/**
 * Queues at near targets show a surge before its exchanges are late. They count only while far exchanges are
 * faster.
 */
double locality_controller::near_pressure(time_point now) const {
    if (!m_near.is_known(now)) {
        return 0.0;
    }
    const double queued = distance_pays(now) ? m_near.load_or(0.0) / queued_to_raise : 0.0;
    return std::max(m_near.late() / late_to_raise, queued);
}

bool locality_controller::may_raise(time_point now, double pressure) const {
    const bool has_effect = pressure < m_pressure_at_raise && now - m_changed_at < effect_time;
    return m_fraction < max_fraction && now >= m_hold_until && pressure >= 1.0 && !has_effect &&
           far_has_room(now);
}

/**
 * Load at near targets is proportional to the fraction that stays, as the hosts of a data centre act alike.
 * Without reports, or with a load in between, one step down shows whether they have room.
 */
double locality_controller::lowered_fraction(time_point now) const {
    const duration since_change = now - m_changed_at;
    const bool may_lower = m_near.is_known(now) && m_near.late() <= late_to_lower &&
                           near_pressure(now) < 1.0 && since_change >= lower_interval;
    if (m_fraction == 0.0 || !may_lower) {
        return m_fraction;
    }
    const double lower = std::max(0.0, m_fraction - std::max(step, m_fraction / 4.0));
    if (m_near.load_or(1.0) * (1.0 - lower) / (1.0 - m_fraction) <= near_room) {
        return lower;
    }
    return since_change >= probe_interval ? std::max(0.0, m_fraction - step) : m_fraction;
}

bool locality_controller::far_has_room(time_point now) const {
    if (!m_far.is_known(now)) {
        return m_fraction == 0.0;
    }
    const bool answered = m_fraction == 0.0 || m_far.count() > m_far_at_raise;
    return answered && m_far.late() < far_late_room && m_far.load_or(0.0) < far_load_room &&
           m_far.relative_time() < m_near.relative_time();
}

bool locality_controller::far_is_short(time_point now) const {
    return m_far.is_known(now) && (m_far.late() >= far_late_short || m_far.load_or(0.0) >= far_load_short);
}

void locality_controller::change(time_point now, double to) {
    m_fraction = to < min_fraction ? 0.0 : std::min(to, max_fraction);
    m_changed_at = now;
    if (m_fraction == 0.0) {
        m_due = 0.0;
        m_pressure_at_raise = 0.0;
    }
}

std::optional<locality_step> locality_controller::review(time_point now, random_source& random) {
    if (now < m_review_at) {
        return std::nullopt;
    }
    const bool was_idle = now - m_reviewed_at >= idle_time;
    m_review_at = now + next_interval(random);
    m_reviewed_at = now;
    if (m_fraction > 0.0 && was_idle) {
        change(now, 0.0);
        return locality_step::lowered;
    }
    if (m_fraction > 0.0 && far_is_short(now)) {
        m_hold_until = now + hold_time + random.between(duration{0}, hold_time);
        change(now, m_fraction / 2.0);
        return locality_step::reversed;
    }
    const double pressure = near_pressure(now);
    if (may_raise(now, pressure)) {
        m_far_at_raise = m_far.count();
        m_pressure_at_raise = pressure;
        change(now, m_fraction + (pressure < pressure_for_large_step ? step : large_step));
        m_due = std::max(m_due, 1.0); // the next step needs an answer from a far target
        return locality_step::raised;
    }
    const double lower = lowered_fraction(now);
    if (lower == m_fraction) {
        return std::nullopt;
    }
    change(now, lower);
    return locality_step::lowered;
}

} // namespace tamarack
