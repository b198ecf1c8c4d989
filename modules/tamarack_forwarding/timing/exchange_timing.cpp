#include "exchange_timing.h"

#include <algorithm>

namespace tamarack {

namespace {

/** The estimates start at these shares of the objective. */
constexpr double first_median_share = 1.0 / 8.0;
constexpr double first_high_share = 1.0 / 4.0;
/** An observation moves an estimate by this share at most; the first ones by more. */
constexpr double step = 0.04;
constexpr double first_step = 0.2;
constexpr std::uint64_t first_observations = 30;
constexpr double median_rank = 0.5;
constexpr double high_rank = 0.9;
/** No exchange over a network is faster. */
constexpr double lowest = 200.0;

void move(double& estimate, double observed, double rank, double share) {
    estimate *= observed > estimate ? 1.0 + share * rank : 1.0 - share * (1.0 - rank);
    estimate = std::max(estimate, lowest);
}

} // namespace

exchange_timing::exchange_timing(duration objective)
    : m_median(std::max(lowest, first_median_share * static_cast<double>(objective.count()))),
      m_high(std::max(lowest, first_high_share * static_cast<double>(objective.count()))) {}

void exchange_timing::observe(duration taken) {
    const double share = m_observations < first_observations ? first_step : step;
    ++m_observations;
    move(m_median, static_cast<double>(taken.count()), median_rank, share);
    move(m_high, static_cast<double>(taken.count()), high_rank, share);
    m_high = std::max(m_high, m_median);
}

} // namespace tamarack
