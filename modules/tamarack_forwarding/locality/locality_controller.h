#pragma once

#include "observed_side.h"

#include <optional>

namespace tamarack {

/**
 * @param objective  of a request
 * @return running time after which an exchange of it is late: half of what the margins for the answer leave,
 * as a hedge sent then would still be in time
 */
duration locality_late_after(duration objective);

/** Direction of a change of the fraction that leaves the data centre. */
enum class locality_step {
    raised,
    lowered,  ///< near targets have room again
    reversed, ///< far targets have no room
};

template <>
struct name_table<locality_step> {
    static constexpr std::array<std::pair<locality_step, std::string_view>, 3> entries{{
        {locality_step::raised, "raised"},
        {locality_step::lowered, "lowered"},
        {locality_step::reversed, "reversed"},
    }};
};

/**
 * Decides on one host which fraction of the first exchanges of one service is sent to targets in other data
 * centres.
 *
 * Load pattern: each data centre has targets of a service, often a single one that pauses briefly from time
 * to time, and traffic between data centres costs money. In calm, everything is sent near; a pause is covered
 * by hedges. During a surge in one data centre, a small part of the exchanges leaves it, and more with each
 * step while near exchanges are still late. The times of far exchanges include the distance, so the fraction
 * rises only while far targets answer faster in spite of it.
 *
 * Failure pattern: a data centre sends its surge to a neighbour, which then fails as well, or two overloaded
 * data centres exchange their load. The fraction rises only after an exchange since the last step has shown
 * room at the far targets, and is halved when they are late or have queues. Hosts take their steps at random
 * moments, so that each step of a data centre is gradual.
 *
 * Without near targets that can take an exchange, far ones are used whatever the fraction is; so may hedges
 * and retries.
 */
class locality_controller {
public:
    /** @param random  for the time of the first review */
    locality_controller(time_point now, random_source& random);

    /** An exchange with a target has ended. @param far  whether the target is in another data centre */
    void observe(time_point now, bool far, const locality_sample& sample);

    /**
     * Reviews the fraction if a review is due. To be called before each first exchange.
     *
     * @return the direction, if the fraction changed
     */
    std::optional<locality_step> review(time_point now, random_source& random);

    /** @return whether the next first exchange leaves the data centre, if targets on both sides can take it
     */
    bool is_next_far() const { return m_due >= 1.0; }
    /** A first exchange, which targets on both sides could take, was sent. */
    void on_sent(bool far) { m_due += m_fraction - (far ? 1.0 : 0.0); }

    double fraction() const { return m_fraction; }
    const observed_side& near_side() const { return m_near; }
    const observed_side& far_side() const { return m_far; }

private:
    /** @return pressure on near targets; the fraction rises from 1 on */
    double near_pressure(time_point now) const;
    /** @return whether near exchanges take longer than far ones by a noticeable share of the objective */
    bool distance_pays(time_point now) const;
    bool may_raise(time_point now, double pressure) const;
    /** @return fraction after a step down, or the present one if none is due */
    double lowered_fraction(time_point now) const;
    bool far_has_room(time_point now) const;
    bool far_is_short(time_point now) const;
    void change(time_point now, double to);

    observed_side m_near;
    observed_side m_far;
    double m_fraction = 0.0;
    double m_due = 0.0; ///< far exchanges owed to the fraction
    time_point m_review_at;
    time_point m_reviewed_at;
    time_point m_changed_at;
    time_point m_hold_until{};        ///< the fraction isn't raised before
    std::uint64_t m_far_at_raise = 0; ///< far exchanges observed before the last raise
    double m_pressure_at_raise = 0.0; ///< on near targets, then
};

} // namespace tamarack
