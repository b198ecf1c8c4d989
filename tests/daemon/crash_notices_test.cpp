#include "hosts/crash_notices.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

TEST(crash_notices, tell_a_newcomer_what_was_found_before_it_started) {
    crash_notices notices;
    EXPECT_TRUE(notices.current(start).empty());
    notices.add(start, {digest{"ab"}, {target_id{"t"}, incarnation{1}}, start});
    const auto told = notices.current(start + 20s);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().content.hex(), "ab");
    EXPECT_EQ(told.front().lost.target.value(), "t");
    EXPECT_EQ(told.front().found_at, start);
}

TEST(crash_notices, are_not_kept_longer_by_being_told_again) {
    crash_notices first;
    first.add(start, {digest{"ab"}, {target_id{"t"}, incarnation{1}}, start});
    crash_notices second;
    second.add(start + 550s, first.current(start + 550s).front());
    EXPECT_EQ(second.current(start + 599s).size(), 1U);
    EXPECT_TRUE(second.current(start + 601s).empty());
}

/** Load pattern: many targets crash at once, beside a request that crashes what runs it. */
TEST(crash_notices, tell_first_of_the_content_that_most_targets_were_lost_to) {
    crash_notices notices;
    for (int number = 0; number < 500; ++number) {
        const target_life lost{target_id{"t" + std::to_string(number)}, incarnation{1}};
        const bool again = number % 100 == 0;
        notices.add(start, {digest{again ? "ff" : "ab" + std::to_string(number)}, lost, start});
    }
    const auto told = notices.current(start);
    ASSERT_GE(told.size(), 5U);
    EXPECT_LT(told.size(), 100U);
    for (std::size_t index = 0; index < 5; ++index) {
        EXPECT_EQ(told[index].content.hex(), "ff");
    }
}

} // namespace
} // namespace tamarack
