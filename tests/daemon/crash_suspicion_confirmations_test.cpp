#include "hosts/crash_suspicion_confirmations.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};
const host_id first{"a"};
const host_id second{"b"};

TEST(crash_suspicion_confirmations, is_done_once_all_hosts_have_confirmed) {
    crash_suspicion_confirmations confirmations;
    int done = 0;
    const auto number = confirmations.begin(start, {first, second}, [&done] { ++done; });
    confirmations.on_confirmation(number, first);
    confirmations.on_confirmation(number, first);
    EXPECT_EQ(done, 0);
    confirmations.on_confirmation(number, second);
    EXPECT_EQ(done, 1);
    confirmations.on_timer(start + 1h);
    EXPECT_EQ(done, 1);
}

TEST(crash_suspicion_confirmations, gives_up_after_the_timeout) {
    crash_suspicion_confirmations confirmations;
    int done = 0;
    confirmations.begin(start, {first}, [&done] { ++done; });
    const time_point due = confirmations.next_timer();
    confirmations.on_timer(due - 1us);
    EXPECT_EQ(done, 0);
    confirmations.on_timer(due);
    EXPECT_EQ(done, 1);
    EXPECT_EQ(confirmations.next_timer(), time_point::max());
}

TEST(crash_suspicion_confirmations, is_done_at_once_without_other_hosts) {
    crash_suspicion_confirmations confirmations;
    int done = 0;
    confirmations.begin(start, {}, [&done] { ++done; });
    EXPECT_EQ(done, 1);
}

} // namespace
} // namespace tamarack
