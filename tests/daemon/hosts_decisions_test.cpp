#include "hosts/evacuation_gate.h"
#include "hosts/warmup_ends.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

target_record record_of(std::uint64_t incarnation, std::uint64_t sequence, duration remaining) {
    target_record record;
    record.latest.target = target_id{"i-1"};
    record.latest.incarnation = incarnation_id{incarnation};
    record.latest.sequence = sequence;
    record.latest.remaining_warmup = remaining;
    return record;
}

time_point listed(warmup_ends& ends, time_point now, const target_record& record) {
    ends.begin_listing();
    const time_point warm = ends.warm_at(now, record);
    ends.end_listing();
    return warm;
}

/** Guards against a warm-up that is prolonged each time its record is read. */
TEST(warmup_ends, count_each_announcement_once) {
    warmup_ends ends;
    EXPECT_EQ(listed(ends, start, record_of(1, 1, 5s)), start + 5s);
    EXPECT_EQ(listed(ends, start + 3s, record_of(1, 1, 5s)), start + 5s);
    EXPECT_EQ(listed(ends, start + 4s, record_of(2, 1, 2s)), start + 6s) << "another process";
}

TEST(warmup_ends, are_extended_by_a_later_announcement_of_the_same_process) {
    warmup_ends ends;
    listed(ends, start, record_of(1, 1, 1s));
    EXPECT_EQ(listed(ends, start + 9s, record_of(1, 7, 4s)), start + 13s);
    EXPECT_EQ(listed(ends, start + 10s, record_of(1, 8, 0s)), start + 13s) << "never shortened";
    EXPECT_EQ(listed(ends, start + 11s, record_of(1, 7, 9s)), start + 13s) << "an older announcement";
}

TEST(evacuation_gate, opens_with_the_first_orders_or_after_a_maximum_wait) {
    evacuation_gate gate{true, start};
    EXPECT_FALSE(gate.may_send(start));
    gate.on_orders({}, false);
    EXPECT_FALSE(gate.may_send(start + evacuation_gate::max_wait - 1us));
    EXPECT_TRUE(gate.may_send(start + evacuation_gate::max_wait));
    gate.on_orders({3, {data_center_id{"north"}}}, true);
    EXPECT_TRUE(gate.may_send(start));
    EXPECT_EQ(gate.evacuated(), std::vector{data_center_id{"north"}});
    EXPECT_TRUE((evacuation_gate{false, start}.may_send(start))) << "without names of data centres as before";
}

} // namespace
} // namespace tamarack
