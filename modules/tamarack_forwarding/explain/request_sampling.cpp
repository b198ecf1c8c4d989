#include "request_sampling.h"

namespace tamarack {

namespace {

/** Whole ways a second of one reason; a request over ten shards takes some thirty lines. */
constexpr double whole_per_second = 2.0;
constexpr double whole_burst = 10.0;
/** One request that ended well in this many is told. */
constexpr std::uint64_t good_sample = 200;
constexpr std::uint64_t good_whole_sample = 2'000;

bool ended_well(const forward_answer& answer) {
    const bool replied =
        answer.outcome == forward_outcome::replied || answer.outcome == forward_outcome::merged;
    return replied && answer.reason == forward_reason::none && answer.missing == 0 && !answer.trace.late;
}

} // namespace

log_detail request_sampling::on_end(time_point now, const forward_answer& answer) {
    if (!ended_well(answer)) {
        return take_whole(now, answer.reason) ? log_detail::all_steps : log_detail::outcome_only;
    }
    ++m_good;
    if (m_good % good_whole_sample == 0) {
        return log_detail::all_steps;
    }
    return m_good % good_sample == 0 ? log_detail::outcome_only : log_detail::none;
}

bool request_sampling::take_whole(time_point now, forward_reason reason) {
    return m_whole.try_emplace(reason, whole_per_second, whole_burst).first->second.take(now);
}

} // namespace tamarack
