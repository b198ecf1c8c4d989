#include "exchange_timing.h"

#include <algorithm>

namespace tamarack {

namespace {

/** Initial estimates, as fractions of the objective. */
constexpr double first_median_share = 1.0 / 8.0;
constexpr double first_p90_share = 1.0 / 4.0;
/** Maximum relative change of an estimate per observation; the early observations may change it more. */
constexpr double step = 0.04;
constexpr double early_step = 0.2;
constexpr std::uint64_t early_observations = 30;
constexpr double median_rank = 0.5;
constexpr double p90_rank = 0.9;
/** Lower bound in microseconds: no exchange over a network is faster. */
constexpr double min_estimate = 200.0;

void adjust(double& estimate, double observed, double rank, double share) {
    estimate *= observed > estimate ? 1.0 + share * rank : 1.0 - share * (1.0 - rank);
    estimate = std::max(estimate, min_estimate);
}

} // namespace

exchange_timing::exchange_timing(duration objective)
    : m_median(std::max(min_estimate, first_median_share * static_cast<double>(objective.count()))),
      m_p90(std::max(min_estimate, first_p90_share * static_cast<double>(objective.count()))) {}

void exchange_timing::observe(duration taken) {
    const double share = m_observations < early_observations ? early_step : step;
    ++m_observations;
    adjust(m_median, static_cast<double>(taken.count()), median_rank, share);
    adjust(m_p90, static_cast<double>(taken.count()), p90_rank, share);
    m_p90 = std::max(m_p90, m_median);
}

} // namespace tamarack
