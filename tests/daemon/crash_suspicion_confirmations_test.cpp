#include "hosts/crash_suspicion_confirmations.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};
const host_id first{"a"};
const host_id second{"b"};

TEST(crash_suspicion_confirmations, is_done_once_all_hosts_have_confirmed) {
    crash_suspicion_confirmations spread;
    int done = 0;
    const auto number = spread.begin(start, {first, second}, [&done] { ++done; });
    spread.on_known(number, first);
    spread.on_known(number, first);
    EXPECT_EQ(done, 0);
    spread.on_known(number, second);
    EXPECT_EQ(done, 1);
    spread.on_timer(start + 1h);
    EXPECT_EQ(done, 1);
}

TEST(crash_suspicion_confirmations, does_not_wait_for_ever) {
    crash_suspicion_confirmations spread;
    int done = 0;
    spread.begin(start, {first}, [&done] { ++done; });
    const time_point due = spread.next_timer();
    spread.on_timer(due - 1us);
    EXPECT_EQ(done, 0);
    spread.on_timer(due);
    EXPECT_EQ(done, 1);
    EXPECT_EQ(spread.next_timer(), time_point::max());
}

TEST(crash_suspicion_confirmations, is_done_at_once_without_other_hosts) {
    crash_suspicion_confirmations spread;
    int done = 0;
    spread.begin(start, {}, [&done] { ++done; });
    EXPECT_EQ(done, 1);
}

} // namespace
} // namespace tamarack
