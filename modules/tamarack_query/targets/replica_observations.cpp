#include "replica_observations.h"

#include <cmath>

namespace tamarack {

namespace {

constexpr duration latency_half_life = 5s;
constexpr duration error_half_life = 5s;
constexpr double sample_weight = 0.1;
constexpr double prior_outcomes = 3.0;

double decay(duration age, duration half_life) {
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

} // namespace

void replica_observations::on_latency(time_point now, duration elapsed) {
    const auto sample = static_cast<double>(elapsed.count());
    m_latency_weight *= decay(now - m_latency_at, latency_half_life);
    m_latency_at = now;
    const double share = std::max(sample_weight, 1.0 / (1.0 + m_latency_weight / sample_weight));
    m_latency_us += share * (sample - m_latency_us);
    m_latency_weight += sample_weight * (1.0 - m_latency_weight);
}

void replica_observations::on_failure(time_point now) {
    on_outcome(now, 1.0);
    ++m_failures_in_row;
    m_failed_at = now;
}

void replica_observations::on_success(time_point now) {
    on_outcome(now, 0.0);
    m_failures_in_row = 0;
}

void replica_observations::on_outcome(time_point now, double failure) {
    const double decay_factor = decay(now - m_outcome_at, error_half_life);
    m_outcome_at = now;
    m_failures = m_failures * decay_factor + failure;
    m_outcomes = m_outcomes * decay_factor + 1.0;
}

duration replica_observations::latency(time_point now, duration expected) const {
    const double weight = m_latency_weight * decay(now - m_latency_at, latency_half_life);
    const double assumed = static_cast<double>(expected.count());
    return duration{std::llround(weight * m_latency_us + (1.0 - weight) * assumed)};
}

double replica_observations::error_share(time_point now) const {
    const double decay_factor = decay(now - m_outcome_at, error_half_life);
    return m_failures * decay_factor / (m_outcomes * decay_factor + prior_outcomes);
}

} // namespace tamarack
