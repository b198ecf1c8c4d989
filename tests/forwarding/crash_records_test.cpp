#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};
constexpr std::size_t most = 32;

TEST(crash_records, tell_a_newcomer_what_was_found_before_it_started) {
    crash_records notices;
    EXPECT_TRUE(notices.losses(start, most).empty());
    notices.add(start, {digest{"ab"}, {target_id{"t"}, incarnation_id{1}}, start});
    const auto told = notices.losses(start + 20s, most);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().content.hex(), "ab");
    EXPECT_EQ(told.front().lost.target.value(), "t");
    EXPECT_EQ(told.front().found_at, start);
}

TEST(crash_records, are_not_kept_longer_by_being_told_again) {
    crash_records first;
    first.add(start, {digest{"ab"}, {target_id{"t"}, incarnation_id{1}}, start});
    crash_records second;
    second.add(start + 50s, first.losses(start + 50s, most).front());
    EXPECT_EQ(second.losses(start + 59s, most).size(), 1U);
    EXPECT_TRUE(second.losses(start + 61s, most).empty());
}

/** Load pattern: many targets crash at once, beside a request that crashes what runs it. */
TEST(crash_records, tell_first_of_the_content_that_most_targets_were_lost_to) {
    crash_records notices;
    for (int number = 0; number < 1'500; ++number) {
        const target_incarnation lost{target_id{"t" + std::to_string(number)}, incarnation_id{1}};
        const bool again = number % 300 == 299;
        notices.add(start, {digest{again ? "ff" : "ab" + std::to_string(number)}, lost, start});
    }
    const auto told = notices.losses(start, most);
    ASSERT_GE(told.size(), 5U);
    EXPECT_EQ(told.size(), most);
    for (std::size_t index = 0; index < 5; ++index) {
        EXPECT_EQ(told[index].content.hex(), "ff");
    }
}

} // namespace
} // namespace tamarack
