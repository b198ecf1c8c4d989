#include "forwarding_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

/** Adds ten shards of three replicas each, like the smaller of the two present deployments. */
std::vector<std::string> add_shards(forwarding_world& world, const world_target& behaviour) {
    std::vector<std::string> shards;
    for (int shard = 0; shard < 10; ++shard) {
        shards.push_back("s" + std::to_string(shard));
        world.add_service(shards.back(), 3, behaviour);
    }
    return shards;
}

void add_match(forwarding_world& world, const std::vector<std::string>& shards) {
    route& match = world.add_route("match", shards);
    match.timeout = 800ms;
    match.objective = 80ms;
    match.priority = 1;
    match.least_coverage = 0.89;
}

/** Adds a service of five replicas that does not fan out. */
void add_orders(forwarding_world& world) {
    world_target behaviour;
    behaviour.work = 60ms;
    behaviour.slots = 4;
    behaviour.queue = 16;
    behaviour.connections = 45;
    world.add_service("orders", 5, behaviour);
}

world_target pausing_target() {
    world_target behaviour;
    behaviour.pause = 100ms;
    behaviour.pause_every = 2400ms;
    return behaviour;
}

void expect_guarantees(const forwarding_world& world) {
    EXPECT_TRUE(world.violations().empty()) << world.violations().front();
    EXPECT_EQ(world.unanswered(), 0U);
}

/** Checks a service's hedges and retries over the whole run against the bound for its length. */
void expect_extra_within_bound(const forwarding_world& world, const std::string& service, double seconds) {
    const double requests = static_cast<double>(world.requests_for(service));
    const double extra = static_cast<double>(world.arrivals(service)) - requests;
    EXPECT_LE(extra, 0.2 * requests + 50.0 * (seconds / 10.0 + 1.0)) << service;
}

TEST(load_pattern, periodic_pauses_of_targets_cost_few_objectives) {
    forwarding_world world{1};
    add_match(world, add_shards(world, pausing_target()));
    world.publish();
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(3s, 21s), 0.97);
    expect_extra_within_bound(world, "s0", 20.0);
}

TEST(load_pattern, one_slow_target_in_each_shard_gets_little_work) {
    forwarding_world world{2};
    add_match(world, add_shards(world, pausing_target()));
    world.for_each_target([](const std::string& id, world_target& target) {
        if (id.ends_with("-1")) {
            target.slow = 8.0;
        }
    });
    world.publish();
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(5s, 21s), 0.93);
    expect_extra_within_bound(world, "s1", 20.0);
}

TEST(load_pattern, targets_of_many_shards_become_unresponsive_at_once) {
    forwarding_world world{3};
    add_match(world, add_shards(world, pausing_target()));
    world.publish();
    world.at(5s, [&] {
        world.for_each_target([](const std::string& id, world_target& target) {
            target.unresponsive = id.ends_with("-0") && id < "s5";
        });
    });
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(8s, 21s), 0.93);
    expect_extra_within_bound(world, "s1", 20.0);
}

TEST(load_pattern, a_shard_without_any_target_leaves_the_others_answered) {
    forwarding_world world{4};
    add_match(world, add_shards(world, pausing_target()));
    world.publish();
    world.at(5s, [&] {
        world.for_each_target(
            [](const std::string& id, world_target& target) { target.unresponsive = id.starts_with("s3-"); });
    });
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(8s, 21s), 0.90);
}

/**
 * Lets some replicas of ten busy shards disappear after 3 s.
 *
 * @return share of the later requests that were answered within their objective
 */
double good_share_after_losses(forwarding_world& world, const std::vector<std::string>& lost,
                               double requests_per_second) {
    world_target behaviour = pausing_target();
    behaviour.work = 12ms;
    add_match(world, add_shards(world, behaviour));
    world.publish();
    world.at(3s, [&] {
        for (const std::string& id : lost) {
            world.hide(id);
        }
        world.publish();
    });
    world.load("match", requests_per_second, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    return world.good_share(5s, 21s);
}

/** One shard has a third of its replicas left, and less capacity than its requests need. */
TEST(load_pattern, a_shard_without_capacity_for_all_requests_delays_none) {
    forwarding_world world{13};
    EXPECT_GE(good_share_after_losses(world, {"s3-0", "s3-1"}, 240.0), 0.9);
}

/**
 * Two shards have a replica left each, with less capacity than all requests need, and an answer may miss one
 * of them only. @return share of the requests that were answered within their objective
 */
double good_share_with_two_saturated_shards(std::uint64_t seed, const forwarding_options& options) {
    forwarding_world world{seed, 3, options};
    return good_share_after_losses(world, {"s3-0", "s3-1", "s5-0", "s5-1"}, 170.0);
}

TEST(load_pattern, work_that_nobody_waits_for_leaves_the_queues_of_saturated_shards) {
    forwarding_options without;
    without.mechanisms.switch_off(forwarding_mechanism::work_cancellation);
    for (const std::uint64_t seed : {41U, 42U, 43U}) {
        EXPECT_GT(good_share_with_two_saturated_shards(seed, {}),
                  good_share_with_two_saturated_shards(seed, without))
            << seed;
    }
}

TEST(load_pattern, targets_that_fail_part_of_their_requests_are_avoided) {
    forwarding_world world{5};
    add_match(world, add_shards(world, pausing_target()));
    world.for_each_target([](const std::string& id, world_target& target) {
        if (id.ends_with("-2")) {
            target.failure_share = 0.45;
        }
    });
    world.publish();
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(5s, 21s), 0.92);
    expect_extra_within_bound(world, "s2", 20.0);
}

TEST(load_pattern, lost_replies_are_retried_within_the_budget) {
    forwarding_world world{6};
    world_target behaviour = pausing_target();
    behaviour.lost_reply_share = 0.03;
    add_match(world, add_shards(world, behaviour));
    world.publish();
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(5s, 21s), 0.93);
    expect_extra_within_bound(world, "s2", 20.0);
}

/** A burst beyond the targets' capacity for three seconds: refusals are immediate and end with the burst. */
TEST(load_pattern, a_burst_beyond_capacity_is_refused_at_once_without_lasting_effect) {
    forwarding_world world{7};
    add_orders(world);
    route& fetch = world.add_route("fetch", {"orders"});
    fetch.timeout = 2500ms;
    fetch.objective = 250ms;
    world.publish();
    world.load("fetch", 100.0, 1s, 20s);
    world.load("fetch", 1000.0, 6s, 9s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(2s, 6s), 0.97);
    EXPECT_GE(world.good_share(10s, 20s), 0.97);
    EXPECT_GE(world.good_share(6s, 9s), 0.15);
    for (const world_result& result : world.results()) {
        if (result.outcome == forward_outcome::not_run && result.reason == forward_reason::overloaded) {
            EXPECT_LE(result.taken, 250ms);
            EXPECT_GT(result.retry_after, duration{0});
        }
    }
}

TEST(load_pattern, urgent_requests_go_before_others_in_a_burst) {
    forwarding_world world{8};
    add_orders(world);
    for (const std::uint32_t priority : {0U, 3U}) {
        route& item = world.add_route("p" + std::to_string(priority), {"orders"});
        item.timeout = 2500ms;
        item.objective = 250ms;
        item.priority = priority;
    }
    world.publish();
    world.load("p0", 200.0, 1s, 10s);
    world.load("p3", 400.0, 1s, 10s);
    world.run_until(15s);
    expect_guarantees(world);
    EXPECT_GT(world.good_share(2s, 10s, 0), world.good_share(2s, 10s, 3));
}

/** Regression, found by the soak test with seed 2: after a pause, a host refused all further requests. */
TEST(load_pattern, a_host_that_was_paused_serves_again_by_itself) {
    forwarding_world world{14, 1};
    add_match(world, add_shards(world, world_target{}));
    world.publish();
    world.load("match", 300.0, 1s, 3s);
    world.load("match", 40.0, 6s, 10s);
    world.pause_hosts(3s, 5s);
    world.run_until(15s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(6s, 10s), 0.97);
}

TEST(load_pattern, an_unknown_service_is_refused_at_once_as_not_run) {
    forwarding_world world{9};
    world_target behaviour;
    world.add_service("orders", 2, behaviour);
    world.add_route("fetch", {"orders"});
    world.hide("orders-0");
    world.hide("orders-1");
    world.publish();
    world.load("fetch", 50.0, 1s, 2s);
    world.run_until(3s);
    expect_guarantees(world);
    ASSERT_FALSE(world.results().empty());
    for (const world_result& result : world.results()) {
        EXPECT_EQ(result.outcome, forward_outcome::not_run);
        EXPECT_EQ(result.reason, forward_reason::no_target);
        EXPECT_EQ(result.taken, duration{0});
        EXPECT_GT(result.retry_after, duration{0});
    }
}

TEST(load_pattern, a_request_that_must_not_repeat_runs_at_most_once) {
    forwarding_world world{10};
    world_target behaviour;
    behaviour.lost_reply_share = 0.1;
    behaviour.failure_share = 0.1;
    behaviour.queue = 1;
    world.add_service("quotes", 3, behaviour);
    route& quote = world.add_route("quote", {"quotes"});
    quote.repeats = repeatability::at_most_once;
    quote.objective = 80ms;
    quote.timeout = 800ms;
    world.publish();
    world.load("quote", 400.0, 1s, 10s);
    world.run_until(15s);
    expect_guarantees(world);
    for (std::size_t number = 1; number <= world.results().size(); ++number) {
        EXPECT_LE(world.runs_of("r" + std::to_string(number), "quotes"), 1U);
    }
}

TEST(load_pattern, without_the_protection_a_request_that_must_not_repeat_runs_twice) {
    forwarding_options options;
    options.protections.enforce_at_most_once = false;
    forwarding_world world{10, 3, options};
    world_target behaviour;
    behaviour.lost_reply_share = 0.1;
    world.add_service("quotes", 3, behaviour);
    world.add_route("quote", {"quotes"}).repeats = repeatability::at_most_once;
    world.publish();
    world.load("quote", 400.0, 1s, 5s);
    world.run_until(10s);
    std::size_t most = 0;
    for (std::size_t number = 1; number <= world.results().size(); ++number) {
        most = std::max(most, world.runs_of("r" + std::to_string(number), "quotes"));
    }
    EXPECT_GE(most, 2U);
}

TEST(load_pattern, stays_within_the_connection_limits_of_targets) {
    for (const bool limited : {true, false}) {
        forwarding_options options;
        options.protections.limit_connections = limited;
        forwarding_world world{11, 6, options};
        world_target behaviour;
        behaviour.connections = 4;
        behaviour.work = 40ms;
        add_match(world, add_shards(world, behaviour));
        world.publish();
        world.load("match", 300.0, 1s, 8s);
        world.run_until(12s);
        std::size_t most = 0;
        world.for_each_target(
            [&](const std::string& id, world_target&) { most = std::max(most, world.max_connections(id)); });
        EXPECT_EQ(most <= 4U, limited) << most;
    }
}

TEST(load_pattern, without_its_limit_extra_load_exceeds_the_budget) {
    forwarding_options options;
    options.protections.limit_extra_load = false;
    forwarding_world world{12, 3, options};
    world_target behaviour = pausing_target();
    behaviour.failure_share = 0.5;
    add_match(world, add_shards(world, behaviour));
    world.publish();
    world.load("match", 130.0, 1s, 21s);
    world.run_until(25s);
    const double requests = static_cast<double>(world.requests_for("s0"));
    EXPECT_GT(static_cast<double>(world.arrivals("s0")) - requests, 0.2 * requests + 150.0);
}

} // namespace
} // namespace tamarack
