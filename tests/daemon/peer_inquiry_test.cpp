#include "hosts/peer_inquiry.h"

#include <gtest/gtest.h>

#include <set>

namespace tamarack {
namespace {

constexpr time_point start{1h};

inquiry_inputs with_lease_until(time_point end) {
    return {end, 3s, {host_id{"a"}, host_id{"b"}, host_id{"c"}}};
}

TEST(peer_inquiry, sends_no_inquiry_while_the_lease_is_renewed) {
    peer_inquiry inquiry{random_source{1}};
    EXPECT_FALSE(inquiry.next(start, with_lease_until(start + 2900ms)));
    EXPECT_FALSE(inquiry.next(start + 1s, with_lease_until(start + 3900ms)));
}

TEST(peer_inquiry, queries_peers_periodically_once_the_lease_is_overdue) {
    peer_inquiry inquiry{random_source{1}};
    std::set<host_id> asked;
    int inquiries = 0;
    for (time_point now = start; now < start + 10s; now += 100ms) {
        if (const auto peer = inquiry.next(now, with_lease_until(start))) {
            asked.insert(*peer);
            ++inquiries;
        }
    }
    EXPECT_EQ(inquiries, 20);
    EXPECT_EQ(asked.size(), 3U);
}

TEST(peer_inquiry, sends_no_inquiry_without_peers) {
    peer_inquiry inquiry{random_source{1}};
    EXPECT_FALSE(inquiry.next(start, {start, 3s, {}}));
}

} // namespace
} // namespace tamarack
