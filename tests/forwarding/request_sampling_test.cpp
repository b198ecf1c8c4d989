#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

forward_answer ended(forward_outcome outcome, forward_reason reason) {
    forward_answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    return answer;
}

const forward_answer refused = ended(forward_outcome::not_run, forward_reason::no_target);
const forward_answer failed = ended(forward_outcome::replied, forward_reason::targets_failed);
const forward_answer good = ended(forward_outcome::merged, forward_reason::none);

TEST(request_sampling, a_flood_of_one_reason_does_not_hide_the_first_of_another) {
    request_sampling sampling;
    for (int request = 0; request < 1'000; ++request) {
        sampling.on_end(start + request * 1ms, refused);
    }
    EXPECT_EQ(sampling.on_end(start + 1s, failed), log_detail::all_steps);
}

TEST(request_sampling, limits_logs_with_all_steps_and_logs_the_outcome_of_each_failure) {
    request_sampling sampling;
    int with_all_steps = 0;
    for (int request = 0; request < 10'000; ++request) {
        const log_detail detail = sampling.on_end(start + request * 1ms, refused);
        EXPECT_NE(detail, log_detail::none);
        with_all_steps += detail == log_detail::all_steps ? 1 : 0;
    }
    EXPECT_LE(with_all_steps, 30) << "a burst of ten and two a second";
    EXPECT_GE(with_all_steps, 28);
}

TEST(request_sampling, samples_requests_that_succeed_in_time) {
    request_sampling sampling;
    int logged = 0;
    for (int request = 0; request < 10'000; ++request) {
        logged += sampling.on_end(start + request * 1ms, good) == log_detail::none ? 0 : 1;
    }
    EXPECT_EQ(logged, 50);
    forward_answer late = good;
    late.trace.late = true;
    EXPECT_EQ(sampling.on_end(start + 10s, late), log_detail::all_steps);
    forward_answer partial = good;
    partial.missing = 1;
    partial.reason = forward_reason::timed_out;
    EXPECT_EQ(sampling.on_end(start + 10s, partial), log_detail::all_steps);
}

TEST(request_sampling, limits_logs_of_successes_that_took_several_exchanges) {
    request_sampling sampling;
    forward_answer repeated = good;
    repeated.trace.retries = 1;
    int with_all_steps = 0;
    for (int request = 0; request < 1'000; ++request) {
        const log_detail detail = sampling.on_end(start + request * 10ms, repeated);
        with_all_steps += detail == log_detail::all_steps ? 1 : 0;
    }
    EXPECT_LE(with_all_steps, 16) << "a burst of ten and one in two seconds";
    EXPECT_GE(with_all_steps, 14);
}

} // namespace
} // namespace tamarack
