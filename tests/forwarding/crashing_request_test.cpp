#include "forwarding_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr std::size_t all_hosts = 9;
constexpr int arrival_count = 12;
constexpr duration arrival_interval = 1500ms;
/** Until then, the newly started hosts have no part of the allowance for extra exchanges. */
constexpr duration first_arrival = 20s;

/** A request that crashes its targets arrives repeatedly, among harmless ones. */
struct crashing_request : ::testing::Test {
    forwarding_options options() const {
        forwarding_options wanted;
        wanted.extra = {0.2, 58.0, 10s};
        return wanted;
    }

    world_target orders_target() const {
        world_target behaviour;
        behaviour.work = 60ms;
        behaviour.slots = 4;
        behaviour.connections = 45;
        return behaviour;
    }

    void add_orders(forwarding_world& world, const world_target& behaviour) const {
        world.add_service("orders", 30, behaviour);
        route& fetch = world.add_route("fetch", {"orders"});
        fetch.timeout = 2500ms;
        fetch.objective = 250ms;
    }

    void add_shards(forwarding_world& world, duration crash_time) const {
        world_target behaviour;
        behaviour.connections = 26;
        behaviour.crash_time = crash_time;
        std::vector<std::string> shards;
        for (int shard = 0; shard < 10; ++shard) {
            shards.push_back("s" + std::to_string(shard));
            world.add_service(shards.back(), 5, behaviour);
        }
        route& match = world.add_route("match", shards);
        match.timeout = 800ms;
        match.objective = 80ms;
        match.least_coverage = 0.89;
    }

    /** Sends the request to each host in turn, starting with `first_host`, and runs the simulation. */
    void run(forwarding_world& world, const std::string& route_name, std::size_t first_host = 0) {
        world.publish();
        world.load(route_name, 60.0, 1s, 42s);
        for (int arrival = 0; arrival < arrival_count; ++arrival) {
            const std::size_t host =
                first_host + static_cast<std::size_t>(arrival) % (all_hosts - first_host);
            world.at(first_arrival + arrival * arrival_interval,
                     [&world, route_name, host] { world.send_crashing(route_name, host); });
        }
        world.run_until(44s);
    }

    /** Puts all hosts but the first on standby; the request arrives at hosts without open connections. */
    void put_on_standby(forwarding_world& world) {
        for (std::size_t host = 1; host < all_hosts; ++host) {
            world.put_on_standby(host);
        }
    }

    void expect_few_retries(const forwarding_world& world) {
        EXPECT_LE(world.crashing_request().late_retries(),
                  testing_support::crashing_request_check::tolerated_retries)
            << world.crashing_request().crashes() << " targets ended";
        EXPECT_EQ(world.violations(), std::vector<std::string>{});
        EXPECT_EQ(world.extra_load_breaches().size(), 0U);
    }

    /** Counts the first exchanges of attempts as well, as each of them crashes a target. */
    void expect_few_arrivals(const forwarding_world& world) {
        expect_few_retries(world);
        EXPECT_LE(world.crashing_request().late_arrivals(),
                  testing_support::crashing_request_check::tolerated_retries)
            << world.crashing_request().crashes() << " targets ended";
    }
};

TEST_F(crashing_request, is_found_where_callers_are_sent) {
    forwarding_world world{41, all_hosts, options()};
    add_orders(world, orders_target());
    run(world, "fetch");
    expect_few_retries(world);
}

TEST_F(crashing_request, is_not_sent_any_more_after_it_crashed_three_targets) {
    forwarding_world world{50, all_hosts, options()};
    add_orders(world, orders_target());
    run(world, "fetch");
    expect_few_arrivals(world);
}

TEST_F(crashing_request, is_found_when_each_host_sees_one_loss) {
    forwarding_world world{51, all_hosts, options()};
    world.add_service("orders", 30, orders_target());
    route& fetch = world.add_route("fetch", {"orders"});
    fetch.timeout = 2500ms;
    fetch.objective = 250ms;
    fetch.attempts = 1;
    run(world, "fetch");
    expect_few_arrivals(world);
}

TEST_F(crashing_request, is_found_by_hosts_on_standby) {
    forwarding_world world{42, all_hosts, options()};
    world_target behaviour = orders_target();
    behaviour.crash_time = 500ms;
    add_orders(world, behaviour);
    put_on_standby(world);
    run(world, "fetch", 1);
    expect_few_retries(world);
}

TEST_F(crashing_request, is_found_when_crashed_targets_fall_silent) {
    forwarding_world world{44, all_hosts, options()};
    world_target behaviour = orders_target();
    behaviour.crashes_silently = true;
    add_orders(world, behaviour);
    run(world, "fetch");
    expect_few_retries(world);
}

TEST_F(crashing_request, is_found_by_hosts_that_missed_reports) {
    forwarding_world world{47, all_hosts, options()};
    add_orders(world, orders_target());
    world.publish();
    world.lose_crash_reports(first_arrival + 500ms);
    run(world, "fetch");
    expect_few_retries(world);
}

TEST_F(crashing_request, to_all_shards_is_found_by_hosts_on_standby) {
    forwarding_world world{45, all_hosts, options()};
    add_shards(world, 500ms);
    put_on_standby(world);
    run(world, "match", 1);
    expect_few_retries(world);
}

/**
 * One replica of each shard is left, with a queue, so that hosts close connections of exchanges that are no
 * longer needed. A target that crashes on such an exchange is not seen to break its connection.
 */
TEST_F(crashing_request, to_all_shards_is_found_while_work_at_saturated_targets_is_cancelled) {
    forwarding_world world{52, all_hosts, options()};
    world_target behaviour;
    behaviour.work = 30ms;
    behaviour.slots = 2;
    behaviour.queue = 30;
    behaviour.connections = 43;
    behaviour.crash_time = 500ms;
    std::vector<std::string> shards;
    for (int shard = 0; shard < 10; ++shard) {
        shards.push_back("s" + std::to_string(shard));
        world.add_service(shards.back(), 2, behaviour);
    }
    route& match = world.add_route("match", shards);
    match.timeout = 800ms;
    match.objective = 80ms;
    match.least_coverage = 0.5;
    run(world, "match");
    expect_few_retries(world);
}

TEST_F(crashing_request, to_all_shards_costs_few_retries_on_first_arrival) {
    forwarding_world world{46, all_hosts, options()};
    add_shards(world, 2s);
    world.publish();
    world.load("match", 60.0, 1s, 24s);
    world.at(first_arrival, [&world] { world.send_crashing("match", 0); });
    world.run_until(26s);
    EXPECT_LE(world.crashing_request().crashes(),
              10 + testing_support::crashing_request_check::tolerated_retries)
        << "one target of each shard and few more";
}

/** @return share answered in time of the requests that are running when two fifths of all targets crash */
double good_share_when_many_crash(const forwarding_options& options) {
    constexpr int waves = 20;
    constexpr duration work = 30ms;
    forwarding_world world{49, all_hosts, options};
    std::vector<std::string> shards;
    world_target behaviour;
    behaviour.work = work;
    behaviour.slots = 5;
    behaviour.connections = 43;
    for (int shard = 0; shard < 10; ++shard) {
        shards.push_back("s" + std::to_string(shard));
        world.add_service(shards.back(), 5, behaviour);
    }
    route& sweep = world.add_route("sweep", shards);
    sweep.timeout = 2s;
    sweep.objective = 200ms;
    sweep.least_coverage = 0.89;
    world.publish();
    world.load("sweep", 120.0, 1s, 105s);
    double good = 0.0;
    for (int wave = 0; wave < waves; ++wave) {
        world.at(20s + wave * 4s, [&world, wave] {
            for (int shard = 0; shard < 10; ++shard) {
                for (int replica = 0; replica < 2; ++replica) {
                    world.crash("s" + std::to_string(shard) + "-" +
                                std::to_string((wave + 2 * shard + replica) % 5));
                }
            }
        });
    }
    world.run_until(110s);
    for (int wave = 0; wave < waves; ++wave) {
        good += world.good_share(20s + wave * 4s - work, 20s + wave * 4s) / waves;
    }
    EXPECT_EQ(world.violations(), std::vector<std::string>{});
    return good;
}

TEST_F(crashing_request, is_not_suspected_when_many_targets_crash_at_once) {
    forwarding_options without = options();
    without.protections.single_run_of_crashing = false;
    const double with_protection = good_share_when_many_crash(options());
    const double without_protection = good_share_when_many_crash(without);
    EXPECT_GE(with_protection, without_protection);
}

TEST_F(crashing_request, to_all_shards_is_rarely_retried_after_all_hosts_were_killed) {
    forwarding_world world{48, all_hosts, options()};
    add_shards(world, 2s);
    world.publish();
    world.at(first_arrival + 5 * arrival_interval + 500ms, [&world] { world.restart_all(); });
    run(world, "match");
    expect_few_retries(world);
}

} // namespace
} // namespace tamarack
