#include "forwarding_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace tamarack {
namespace {

constexpr duration sample_interval = 20ms;
constexpr std::size_t samples_per_second = 50;
/** Time between a target's announcement and the first exchanges that must keep to its limit. */
constexpr duration reaction_time = 100ms;
constexpr double overage = 1.5;
constexpr double slack = 5.0;
/** More than the near target can take, so that the others are needed. */
constexpr double usual_load = 1'500.0;

/** Several hosts, and a service with a replica in the near data centre and the others in the far one. */
struct cold_targets {
    forwarding_world world;
    std::map<std::string, std::vector<std::size_t>> samples; ///< arrivals so far, by target

    cold_targets(std::uint64_t seed, std::size_t hosts, std::size_t replicas, forwarding_options options = {})
        : world(seed, hosts, std::move(options)) {
        world_target behaviour;
        behaviour.connections = 60; // all hosts are connected to all targets
        behaviour.slots = 8;
        world.add_service("s", replicas, behaviour);
        route& lookup = world.add_route("lookup", {"s"});
        lookup.timeout = 3s;
        lookup.objective = 400ms;
    }
    /** Lets the far data centre's targets come back cold together, as new processes or as the same ones. */
    void come_back_cold(duration when, duration warmup, bool as_new_processes) {
        world.at(when, [this, warmup, as_new_processes] {
            world.for_each_target([&](const std::string&, world_target& target) {
                if (target.info.data_center.value() == "far") {
                    target.info.warm_at = world.now() + warmup;
                    target.info.incarnation.value += as_new_processes ? 1 : 0;
                }
            });
            world.publish();
        });
    }
    void sample(duration from, duration until) {
        for (duration when = from; when <= until; when += sample_interval) {
            world.at(when, [this] {
                world.for_each_target([this](const std::string& id, const world_target&) {
                    samples[id].push_back(world.arrivals_at(id));
                });
            });
        }
    }
    /** @return the highest number of arrivals at one target of the far data centre in a second */
    std::size_t max_in_a_second() const {
        std::size_t highest = 0;
        for (const auto& [id, counts] : samples) {
            for (std::size_t end = samples_per_second; id != "s-0" && end < counts.size(); ++end) {
                highest = std::max(highest, counts[end] - counts[end - samples_per_second]);
            }
        }
        return highest;
    }
};

/** Guards against a data centre whose restarted targets all get their usual load while they are cold. */
TEST(cold_targets, get_no_more_than_their_service_allows_from_all_hosts_together) {
    for (const std::size_t hosts : {3U, 40U}) {
        for (const double limit : {0.5, 3.0, 12.0, 40.0}) {
            SCOPED_TRACE(std::to_string(hosts) + " hosts, limit " + std::to_string(limit));
            cold_targets test{17, hosts, 3};
            test.world.limit_cold_targets("s", limit);
            test.world.publish();
            test.come_back_cold(3s, 10s, true);
            test.sample(3s + reaction_time, 13s);
            test.world.load("lookup", usual_load, 1s, 15s);
            test.world.run_until(20s);
            EXPECT_LE(static_cast<double>(test.max_in_a_second()), overage * limit + slack);
            EXPECT_TRUE(test.world.violations().empty());
            EXPECT_EQ(test.world.unanswered(), 0U);
        }
    }
}

/** Guards against a surge that finds unused shares of all hosts at once: one exchange of each host would
 * exceed the limit if as many hosts shared it as it allows requests a second. */
TEST(cold_targets, keep_their_limit_in_a_surge_after_a_quiet_time) {
    for (const double limit : {20.0, 42.0}) { // 42: each of 40 hosts could send two exchanges in a second
        SCOPED_TRACE(limit);
        cold_targets test{31, 40, 3};
        test.world.limit_cold_targets("s", limit);
        for (const char* id : {"s-1", "s-2"}) {
            test.world.target(id).slots = 200; // none is refused, so no host passes it over for that
            test.world.target(id).info.slots = 200;
        }
        test.world.publish();
        test.come_back_cold(3s, 10s, true);
        test.sample(3s + reaction_time, 13s);
        test.world.load("lookup", 3.0 * usual_load, 8s, 10s);
        test.world.run_until(16s);
        EXPECT_LE(static_cast<double>(test.max_in_a_second()), overage * limit + slack);
    }
}

/** Shows that the limit is what keeps the rate down. */
TEST(cold_targets, get_their_usual_load_if_their_service_states_no_limit) {
    cold_targets test{17, 9, 3};
    test.world.publish();
    test.come_back_cold(3s, 10s, true);
    test.sample(3s + reaction_time, 13s);
    test.world.load("lookup", usual_load, 1s, 15s);
    test.world.run_until(20s);
    EXPECT_GT(test.max_in_a_second(), 100U) << "more than any limit of these tests allows";
}

TEST(cold_targets, that_become_cold_again_in_the_same_process_are_limited_too) {
    cold_targets test{19, 9, 3};
    test.world.limit_cold_targets("s", 12.0);
    test.world.publish();
    test.come_back_cold(3s, 6s, false);
    test.sample(3s + reaction_time, 9s);
    test.world.load("lookup", usual_load, 1s, 15s);
    test.world.run_until(20s);
    EXPECT_LE(static_cast<double>(test.max_in_a_second()), overage * 12.0 + slack);
}

/** Guards against targets that stay unused after their warm-up, and against wasting what they take. */
TEST(cold_targets, are_used_up_to_their_limit_and_as_before_once_they_are_warm) {
    for (const std::size_t hosts : {3U, 9U, 40U}) {
        SCOPED_TRACE(hosts);
        cold_targets test{23, hosts, 3};
        test.world.limit_cold_targets("s", 20.0);
        test.world.publish();
        std::size_t at_start = 0;
        std::size_t at_end = 0;
        std::size_t warm = 0;
        test.come_back_cold(3s, 8s, true);
        test.world.at(4s, [&] { at_start = test.world.arrivals_at("s-1"); });
        test.world.at(10s, [&] { at_end = test.world.arrivals_at("s-1"); });
        test.world.at(12s, [&] { warm = test.world.arrivals_at("s-1"); });
        test.world.load("lookup", usual_load, 1s, 16s);
        test.world.run_until(20s);
        EXPECT_GT(at_end - at_start, 6U * 20U / 2U);
        EXPECT_GT(test.world.arrivals_at("s-1") - warm, 4U * 100U);
    }
}

/** Guards against hosts that have restarted and use the whole limit each, and against tokens kept for them.
 */
TEST(cold_targets, keep_their_limit_while_all_hosts_restart_or_lose_each_other) {
    for (const bool partitioned : {false, true}) {
        SCOPED_TRACE(partitioned);
        cold_targets test{29, 9, 3};
        test.world.limit_cold_targets("s", 12.0);
        test.world.publish();
        test.come_back_cold(3s, 10s, true);
        test.world.at(6s, [&] {
            if (partitioned) {
                test.world.partition_hosts(3s);
            } else {
                test.world.restart_all();
            }
        });
        test.sample(3s + reaction_time, 13s);
        test.world.load("lookup", usual_load, 1s, 15s);
        test.world.run_until(20s);
        EXPECT_LE(static_cast<double>(test.max_in_a_second()), overage * 12.0 + slack);
    }
}

TEST(request_limit, of_a_cold_target_combines_with_a_stated_one_and_ends_by_itself) {
    const time_point start{1h};
    request_limit limit;
    limit.set_cold(start, 10.0, start + 5s);
    limit.set_share(start, 1.0);
    EXPECT_TRUE(limit.in_force());
    EXPECT_FALSE(limit.is_stated());
    EXPECT_FALSE(limit.is_report_due(start + 1h)) << "every host knows it from the announcement";
    limit.on_reply(start + 1s, start, 4.0);
    EXPECT_EQ(limit.rate(), 4.0);
    EXPECT_EQ(limit.on_reply(start + 3s, start + 2s, std::nullopt), limit_step::lifted);
    EXPECT_EQ(limit.rate(), 10.0);
    limit.set_share(start + 3s, 0.0);
    EXPECT_EQ(limit.allowed_at(start + 3s), start + 5s) << "no check while it is cold";
    limit.set_cold(start + 5s, std::nullopt, start + 5s);
    EXPECT_FALSE(limit.in_force());
}

} // namespace
} // namespace tamarack
