#include "forwarding_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr std::size_t all_hosts = 9;

/** The bound on extra load in the settings of the platform at Le Goff. */
forwarding_options bounded_options() {
    forwarding_options options;
    options.extra = {0.2, 58.0, 10s};
    return options;
}

/** Adds a service whose targets fail a share of the exchanges, so that most requests call for a retry. */
void add_failing_service(forwarding_world& world, double failure_share) {
    world_target behaviour;
    behaviour.work = 2ms;
    behaviour.slots = 4;
    behaviour.connections = 45;
    behaviour.failure_share = failure_share;
    world.add_service("s", 3, behaviour);
    route& match = world.add_route("match", {"s"});
    match.timeout = 800ms;
    match.objective = 250ms;
}

std::string describe(const forwarding_world& world) {
    std::string text;
    for (const auto& breach : world.extra_load_breaches()) {
        text += breach.service + ": " + std::to_string(breach.extra) + " extra exchanges of " +
                std::to_string(breach.allowed) + " allowed\n";
    }
    return text;
}

TEST(extra_load, stays_within_its_bound_when_hosts_restart_in_series) {
    forwarding_world world{21, all_hosts, bounded_options()};
    add_failing_service(world, 0.9);
    world.publish();
    world.load("match", 30.0, 1s, 40s);
    for (std::size_t restart = 0; restart < 40; ++restart) {
        world.at(12s + 400ms * static_cast<int>(restart),
                 [&world, restart] { world.restart_host(restart % all_hosts); });
    }
    world.run_until(45s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

/** The hosts are partitioned at 20 s, and stop counting each other for the allowance at 35 s. */
std::size_t breaches_when_partitioned(duration lease_left) {
    forwarding_world world{26, all_hosts, bounded_options()};
    add_failing_service(world, 0.9);
    world.publish();
    world.load("match", 60.0, 1s, 70s);
    world.at(20s, [&world, lease_left] { world.partition_hosts(lease_left); });
    for (int second = 21; second < 70; ++second) {
        world.at(std::chrono::seconds{second}, [&world] { world.publish(); });
    }
    world.run_until(75s);
    EXPECT_GT(world.extra_load("s"), 0U);
    return world.extra_load_breaches().size();
}

TEST(extra_load, stays_within_its_bound_when_hosts_are_partitioned) {
    EXPECT_EQ(breaches_when_partitioned(3s), 0U);
}

TEST(extra_load, exceeds_its_bound_when_partitioned_hosts_spend_without_a_lease) {
    EXPECT_EQ(breaches_when_partitioned(1h), 1U);
}

TEST(extra_load, stays_within_its_bound_when_a_service_leaves_the_routes_and_returns) {
    forwarding_world world{22, all_hosts, bounded_options()};
    add_failing_service(world, 0.9);
    world.publish();
    world.load("match", 30.0, 1s, 40s);
    for (int change = 0; change < 20; ++change) {
        world.at(12s + 500ms * change, [&world] {
            world.remove_route("match");
            world.publish();
            route& match = world.add_route("match", {"s"});
            match.timeout = 800ms;
            match.objective = 250ms;
            world.publish();
        });
    }
    world.run_until(45s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

TEST(extra_load, stays_within_its_bound_when_extra_exchanges_wait_for_a_connection) {
    forwarding_world world{23, all_hosts, bounded_options()};
    add_failing_service(world, 0.0);
    route& match = world.add_route("slow", {"s"});
    match.timeout = 8s;
    match.objective = 800ms;
    world.publish();
    world.load("slow", 20.0, 1s, 60s);
    // All targets become unresponsive and recover: everything that waited for them is then sent at once.
    for (int round = 0; round < 4; ++round) {
        world.at(12s + 12s * round, [&world] {
            world.for_each_target(
                [](const std::string&, world_target& target) { target.lost_reply_share = 1.0; });
        });
        world.at(14s + 12s * round, [&world] {
            world.for_each_target(
                [](const std::string&, world_target& target) { target.unresponsive = true; });
        });
        world.at(20s + 12s * round, [&world] {
            world.for_each_target([](const std::string&, world_target& target) {
                target.unresponsive = false;
                target.lost_reply_share = 0.0;
                target.failure_share = 0.9;
            });
        });
    }
    world.run_until(70s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

TEST(extra_load, stays_within_its_bound_when_a_stalled_target_resumes_reading) {
    forwarding_world world{24, all_hosts, bounded_options()};
    add_failing_service(world, 0.0);
    world.publish();
    world.load("match", 30.0, 1s, 70s);
    for (int round = 0; round < 3; ++round) {
        world.at(12s + 20s * round, [&world] { world.target("s-1").reads = false; });
        world.at(30s + 20s * round, [&world] { world.resume_reading("s-1"); });
    }
    world.run_until(80s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

/** Exchanges sent while the targets were stalled arrive together with the extra exchanges that follow. */
TEST(extra_load, stays_within_its_bound_when_all_targets_stall_and_resume_reading) {
    forwarding_world world{27, all_hosts, bounded_options()};
    add_failing_service(world, 0.0);
    world.publish();
    world.load("match", 40.0, 1s, 80s);
    for (int round = 0; round < 3; ++round) {
        world.at(20s + 20s * round, [&world] {
            world.for_each_target([](const std::string&, world_target& target) { target.reads = false; });
        });
        world.at(29s + 20s * round, [&world] {
            world.for_each_target(
                [](const std::string&, world_target& target) { target.failure_share = 0.9; });
            for (const char* id : {"s-0", "s-1", "s-2"}) {
                world.resume_reading(id);
            }
        });
    }
    world.run_until(90s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

TEST(extra_load, charges_of_unanswered_exchanges_are_closed_after_a_while) {
    forwarding_world world{28, 1, bounded_options()};
    add_failing_service(world, 0.0);
    world.publish();
    world.load("match", 40.0, 1s, 30s);
    world.at(20s, [&world] {
        world.for_each_target([](const std::string&, world_target& target) { target.reads = false; });
    });
    world.run_until(32s);
    EXPECT_GT(world.statistics(0).unread, 0U);
    world.run_until(80s);
    EXPECT_EQ(world.statistics(0).unread, 0U);
}

TEST(extra_load, stays_within_its_bound_when_load_comes_in_bursts) {
    forwarding_world world{25, all_hosts, bounded_options()};
    add_failing_service(world, 0.9);
    world.publish();
    for (int burst = 0; burst < 6; ++burst) {
        world.load("match", 1000.0, 1s + 10200ms * burst, 1400ms + 10200ms * burst);
    }
    world.run_until(70s);
    EXPECT_GT(world.extra_load("s"), 0U);
    EXPECT_EQ(describe(world), "");
}

} // namespace
} // namespace tamarack
