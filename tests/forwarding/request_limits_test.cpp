#include "forwarding_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

std::string describe(const std::vector<testing_support::request_limit_breach>& breaches) {
    std::string text;
    for (const auto& breach : breaches) {
        text += breach.target + " got " + std::to_string(breach.received) + " requests in 4 s, allowed " +
                std::to_string(breach.allowed) + "\n";
    }
    return text;
}

void add_lookup(forwarding_world& world, std::size_t replicas) {
    world.add_service("s", replicas, {});
    route& lookup = world.add_route("lookup", {"s"});
    lookup.timeout = 5s;
    lookup.objective = 400ms;
    world.publish();
}

void expect_guarantees(const forwarding_world& world) {
    EXPECT_TRUE(world.violations().empty()) << world.violations().front();
    EXPECT_EQ(world.unanswered(), 0U);
    EXPECT_TRUE(world.request_limit_breaches().empty()) << describe(world.request_limit_breaches());
}

/** Guards against requests beyond the limit that a target states: all hosts went on using it as before. */
TEST(request_limits, hosts_together_send_a_target_no_more_than_it_states) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        forwarding_world world{seed, 9};
        add_lookup(world, 3);
        world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
        world.load("lookup", 180.0, 1s, 16s);
        world.run_until(22s);
        expect_guarantees(world);
        EXPECT_GT(world.good_share(3s, 16s), 0.95) << "the other replicas have room";
    }
}

} // namespace
} // namespace tamarack
