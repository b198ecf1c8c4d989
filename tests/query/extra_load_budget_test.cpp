#include <tamarack_query/budget/extra_load_budget.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

TEST(extra_load_budget, processes_that_start_in_series_spend_no_more_than_one_does) {
    constexpr double burst = 10.0;
    constexpr double fraction = 0.2;
    int first_attempts = 0;
    int extra_attempts = 0;
    for (int incarnation = 0; incarnation < 40; ++incarnation) {
        extra_load_budget budget{burst, true};
        for (int request = 0; request < 5; ++request) {
            budget.on_first_attempt(fraction);
            ++first_attempts;
            extra_attempts += budget.try_spend() ? 1 : 0;
        }
    }
    EXPECT_GT(extra_attempts, 0);
    EXPECT_LE(extra_attempts, fraction * first_attempts + burst);
}

} // namespace
} // namespace tamarack
