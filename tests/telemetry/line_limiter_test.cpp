#include <tamarack_telemetry/logging/line_limiter.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

TEST(line_limiter, allows_a_burst_and_then_the_rate) {
    line_limiter limiter{{10.0, 5.0}};
    const time_point start{1h};
    int allowed = 0;
    for (int line = 0; line < 100; ++line) {
        allowed += limiter.allow(start, "target_changed") ? 1 : 0;
    }
    EXPECT_EQ(allowed, 5);
    EXPECT_TRUE(limiter.allow(start + 100ms, "target_changed"));
    EXPECT_FALSE(limiter.allow(start + 100ms, "target_changed"));
}

TEST(line_limiter, bounds_each_event_by_itself) {
    line_limiter limiter{{1.0, 1.0}};
    const time_point start{1h};
    EXPECT_TRUE(limiter.allow(start, "a"));
    EXPECT_FALSE(limiter.allow(start, "a"));
    EXPECT_TRUE(limiter.allow(start, "b"));
}

TEST(line_limiter, counts_suppressed_lines_once) {
    line_limiter limiter{{1.0, 1.0}};
    const time_point start{1h};
    limiter.allow(start, "a");
    limiter.allow(start, "a");
    limiter.allow(start, "a");
    const auto suppressed = limiter.take_suppressed();
    ASSERT_EQ(suppressed.size(), 1U);
    EXPECT_EQ(suppressed.front().first, "a");
    EXPECT_EQ(suppressed.front().second, 2U);
    EXPECT_TRUE(limiter.take_suppressed().empty());
}

} // namespace
} // namespace tamarack
