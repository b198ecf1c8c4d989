#include "observed_side.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/** Maximum weight of one exchange: with 1/12, two late exchanges in a row stay below the share of late
 * exchanges that raises the fraction, three exceed it. */
constexpr double max_weight = 1.0 / 12.0;
/** Time in which the weight of an exchange decays to 1/e at high rates; several times a pause of a target. */
constexpr duration decay_time = 1s;
/** After this time without an exchange, the means start anew: a surge may be over by then. */
constexpr duration max_age = 5s;
/** Cap on the relative time of one exchange, so that a pause doesn't dominate the mean. */
constexpr double max_relative_time = 4.0;

void move(double& mean, double value, double weight) {
    mean += weight * (value - mean);
}

} // namespace

bool observed_side::is_known(time_point now) const {
    return m_count > 0 && now - m_at <= max_age;
}

void observed_side::observe(time_point now, const locality_sample& sample) {
    const double age = static_cast<double>((now - m_at).count());
    const double elapsed = 1.0 - std::exp(-age / static_cast<double>(decay_time.count()));
    const bool starts = !is_known(now);
    const double relative = std::min(sample.relative_time, max_relative_time);
    if (starts) {
        m_late = 0.0;
        m_relative_time = relative;
        m_load.reset();
    }
    const double weight = starts ? max_weight : std::min(max_weight, elapsed);
    move(m_late, sample.late ? 1.0 : 0.0, weight);
    move(m_relative_time, relative, weight);
    if (sample.load) {
        m_load = m_load.value_or(*sample.load);
        move(*m_load, *sample.load, weight);
    }
    m_at = now;
    ++m_count;
}

} // namespace tamarack
