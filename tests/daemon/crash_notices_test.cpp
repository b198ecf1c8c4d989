#include "hosts/crash_notices.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

TEST(crash_notices, tell_a_newcomer_what_was_found_before_it_started) {
    crash_notices notices;
    EXPECT_TRUE(notices.current(start).empty());
    notices.add(start, {digest{"ab"}, start});
    const auto told = notices.current(start + 20s);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().content.hex(), "ab");
    EXPECT_EQ(told.front().found_at, start);
}

TEST(crash_notices, are_not_kept_longer_by_being_told_again) {
    crash_notices first;
    first.add(start, {digest{"ab"}, start});
    crash_notices second;
    second.add(start + 50s, first.current(start + 50s).front());
    EXPECT_EQ(second.current(start + 59s).size(), 1U);
    EXPECT_TRUE(second.current(start + 61s).empty());
}

} // namespace
} // namespace tamarack
