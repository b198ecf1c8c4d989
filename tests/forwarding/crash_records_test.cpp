#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};
constexpr std::size_t most = 32;

TEST(crash_records, inform_a_new_host_of_earlier_losses) {
    crash_records records;
    EXPECT_TRUE(records.losses(start, most).empty());
    records.add(start, {digest{"ab"}, {target_id{"t"}, incarnation_id{1}}, start});
    const auto reported = records.losses(start + 20s, most);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().content.hex(), "ab");
    EXPECT_EQ(reported.front().lost.target.value(), "t");
    EXPECT_EQ(reported.front().found_at, start);
}

TEST(crash_records, are_not_extended_by_repeated_reports) {
    crash_records first;
    first.add(start, {digest{"ab"}, {target_id{"t"}, incarnation_id{1}}, start});
    crash_records second;
    second.add(start + 50s, first.losses(start + 50s, most).front());
    EXPECT_EQ(second.losses(start + 59s, most).size(), 1U);
    EXPECT_TRUE(second.losses(start + 61s, most).empty());
}

/** Load pattern: many targets crash at once, and one request crashes every target that runs it. */
TEST(crash_records, report_contents_with_most_lost_targets_first) {
    crash_records records;
    for (int number = 0; number < 1'500; ++number) {
        const target_incarnation lost{target_id{"t" + std::to_string(number)}, incarnation_id{1}};
        const bool again = number % 300 == 299;
        records.add(start, {digest{again ? "ff" : "ab" + std::to_string(number)}, lost, start});
    }
    const auto reported = records.losses(start, most);
    ASSERT_GE(reported.size(), 5U);
    EXPECT_EQ(reported.size(), most);
    for (std::size_t index = 0; index < 5; ++index) {
        EXPECT_EQ(reported[index].content.hex(), "ff");
    }
}

} // namespace
} // namespace tamarack
