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
    world_target behaviour;
    behaviour.connections = 60; // all hosts are connected to all targets
    world.add_service("s", replicas, behaviour);
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

TEST(request_limits, are_exceeded_without_the_protection) {
    forwarding_options options;
    options.protections.honour_request_limits = false;
    forwarding_world world{1, 9, options};
    add_lookup(world, 3);
    world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
    world.load("lookup", 180.0, 1s, 16s);
    world.run_until(22s);
    EXPECT_FALSE(world.request_limit_breaches().empty());
}

/** Guards against a target that is left unused after it has recovered. */
TEST(request_limits, a_target_is_used_as_before_once_it_states_no_limit) {
    for (const bool reports_lost : {false, true}) {
        forwarding_world world{7, 9};
        add_lookup(world, 3);
        if (reports_lost) {
            world.lose_limit_reports();
        }
        world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
        world.at(9s, [&world] { world.limit_requests("s-0", std::nullopt); });
        std::size_t at_recovery = 0;
        world.at(10s, [&] { at_recovery = world.arrivals_at("s-0"); });
        world.load("lookup", 180.0, 1s, 15s);
        world.run_until(20s);
        expect_guarantees(world);
        EXPECT_GT(world.arrivals_at("s-0") - at_recovery, 5U * 60U) << "its share is 60 a second and more";
    }
}

/** Guards against limits below the number of hosts: one request of each host would already exceed them. */
TEST(request_limits, many_hosts_keep_a_limit_of_one_request_a_second) {
    for (const double limit : {0.0, 1.0, 8.9}) {
        forwarding_world world{11, 40};
        add_lookup(world, 3);
        world.at(3s, [&world, limit] { world.limit_requests("s-0", limit); });
        world.at(14s, [&world] { world.limit_requests("s-0", std::nullopt); });
        std::size_t at_recovery = 0;
        world.at(20s, [&] { at_recovery = world.arrivals_at("s-0"); });
        world.load("lookup", 180.0, 1s, 25s);
        world.run_until(30s);
        expect_guarantees(world);
        EXPECT_GT(world.good_share(3s, 14s), 0.95) << limit;
        EXPECT_GT(world.arrivals_at("s-0") - at_recovery, 100U)
            << "hosts without a share hear that the limit ended: " << limit;
    }
}

/** Guards against requests held until they are late when the limits leave room for only a part of them. */
TEST(request_limits, requests_beyond_the_limits_of_all_replicas_are_refused_at_once) {
    forwarding_world world{13, 9};
    add_lookup(world, 3);
    world.at(3s, [&world] {
        world.for_each_target(
            [&world](const std::string& id, const world_target&) { world.limit_requests(id, 20.0); });
    });
    world.load("lookup", 180.0, 1s, 16s);
    world.run_until(22s);
    expect_guarantees(world);
    EXPECT_GT(world.good_share(5s, 16s), 0.8 * 60.0 / 180.0) << "the limits allow 60 of 180 a second";
    std::size_t refused = 0;
    std::size_t named = 0;
    for (const world_result& result : world.results()) {
        if (result.outcome == forward_outcome::not_run) {
            ++refused;
            named += result.reason == forward_reason::targets_limited ? 1 : 0;
            EXPECT_LE(result.taken, 100ms) << "a quarter of the objective";
            EXPECT_GT(result.retry_after, duration{0});
        }
    }
    EXPECT_GT(refused, 500U);
    EXPECT_EQ(named, refused);
}

/** All shards lose capacity at once: each request needs a target of nearly every shard. */
TEST(request_limits, a_fan_out_keeps_the_limits_of_several_shards) {
    forwarding_world world{17, 9};
    std::vector<std::string> shards;
    for (int shard = 0; shard < 10; ++shard) {
        shards.push_back("shard" + std::to_string(shard));
        world.add_service(shards.back(), 3, {});
    }
    route& match = world.add_route("match", shards);
    match.objective = 100ms;
    match.timeout = 800ms;
    match.least_coverage = 0.89;
    world.publish();
    world.at(3s, [&world, &shards] {
        for (std::size_t shard = 0; shard < 6; ++shard) {
            world.limit_requests(shards[shard] + "-0", 25.0);
            world.limit_requests(shards[shard] + "-1", 30.0);
        }
    });
    world.load("match", 120.0, 1s, 16s);
    world.run_until(20s);
    expect_guarantees(world);
    EXPECT_GT(world.good_share(5s, 16s), 0.9) << "the third replicas have room for most";
}

/** Guards against a new process that begins with a full share of a limit. */
TEST(request_limits, hosts_that_restart_in_series_keep_the_limit) {
    forwarding_world world{19, 9};
    add_lookup(world, 3);
    world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
    for (int restart = 0; restart < 12; ++restart) {
        world.at(6s + restart * 700ms,
                 [&world, restart] { world.restart_host(static_cast<std::size_t>(restart) % 3); });
    }
    world.load("lookup", 180.0, 1s, 16s);
    world.run_until(22s);
    EXPECT_TRUE(world.violations().empty());
    EXPECT_TRUE(world.request_limit_breaches().empty()) << describe(world.request_limit_breaches());
}

/** Guards against hosts that are cut off from each other and each use the whole limit. */
TEST(request_limits, hosts_that_are_isolated_from_each_other_keep_the_limit) {
    forwarding_world world{23, 9};
    add_lookup(world, 3);
    world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
    world.at(6s, [&world] { world.partition_hosts(3s); });
    world.at(9s, [&world] { world.publish(); });
    world.at(12s, [&world] { world.publish(); });
    world.load("lookup", 180.0, 1s, 20s);
    world.run_until(25s);
    expect_guarantees(world);
}

/** A target's record disappears and returns while its limit is in force, and again after the limit ended. */
TEST(request_limits, outlast_the_absence_of_a_target_and_end_with_the_latest_statement) {
    forwarding_world world{29, 9};
    add_lookup(world, 3);
    const auto disappear = [&world](duration from, duration until) {
        world.at(from, [&world] {
            world.hide("s-0");
            world.publish();
        });
        world.at(until, [&world] {
            world.show("s-0");
            world.publish();
        });
    };
    world.at(3s, [&world] { world.limit_requests("s-0", 30.0); });
    disappear(6s, 7s);
    world.at(12s, [&world] { world.limit_requests("s-0", std::nullopt); });
    disappear(14s, 15s);
    std::size_t at_return = 0;
    world.at(15s, [&] { at_return = world.arrivals_at("s-0"); });
    world.load("lookup", 180.0, 1s, 16s);
    world.run_until(20s);
    expect_guarantees(world);
    EXPECT_GT(world.arrivals_at("s-0") - at_return, 50U);
}

constexpr time_point start{1h};

request_limit limited(double per_second, double share) {
    request_limit limit;
    EXPECT_EQ(limit.on_reply(start, start - 10ms, per_second), limit_step::stated);
    limit.set_share(start, share);
    return limit;
}

/** @return exchanges that a host sends in a period, as soon as each is allowed */
std::size_t sent_within(request_limit& limit, time_point from, duration period) {
    std::size_t sent = 0;
    for (time_point at = limit.allowed_at(from); at < from + period; at = limit.allowed_at(at)) {
        limit.on_sent(at);
        ++sent;
    }
    return sent;
}

TEST(request_limit, allows_a_host_its_share_and_a_short_burst) {
    request_limit limit = limited(30.0, 1.0 / 3);
    EXPECT_FALSE(limit.allows(start)) << "what was sent before the limit was stated is unknown";
    EXPECT_EQ(sent_within(limit, start, 4s), 39U);
    EXPECT_LE(sent_within(limit, start + 10s, 4s), 40U + 5U) << "a full bucket holds half a second";
}

TEST(request_limit, ends_with_a_reply_to_an_exchange_sent_after_the_latest_statement) {
    request_limit limit = limited(30.0, 1.0);
    EXPECT_FALSE(limit.on_reply(start + 1s, start - 1ms, std::nullopt)) << "an overtaken reply";
    EXPECT_TRUE(limit.in_force());
    EXPECT_EQ(limit.on_reply(start + 2s, start + 1s, std::nullopt), limit_step::lifted);
    EXPECT_TRUE(limit.allows(start + 2s));
    EXPECT_TRUE(limit.has_share());
}

TEST(request_limit, follows_a_limit_that_changes) {
    request_limit limit = limited(30.0, 1.0);
    EXPECT_FALSE(limit.on_reply(start + 1s, start, 31.0)) << "not worth a log line";
    EXPECT_EQ(limit.rate(), 31.0);
    EXPECT_EQ(limit.on_reply(start + 2s, start, 10.0), limit_step::changed);
    EXPECT_LE(sent_within(limit, start + 2s, 4s), 40U + 5U);
}

TEST(request_limit, applies_reports_in_the_order_in_which_targets_replied) {
    request_limit limit = limited(30.0, 1.0);
    EXPECT_FALSE(limit.on_report(start + 1s, {std::nullopt, start - 1ms})) << "an older reply";
    EXPECT_TRUE(limit.in_force());
    EXPECT_EQ(limit.on_report(start + 2s, {std::nullopt, start + 1s}), limit_step::lifted);
    EXPECT_EQ(limit.on_report(start + 3s, {12.0, start + 2s}), limit_step::stated);
    EXPECT_FALSE(limit.is_report_due(start + 4s)) << "another host has just reported it";
    EXPECT_TRUE(limit.is_report_due(start + 3s + request_limit::report_interval));
}

TEST(request_limit, checks_a_target_rarely_without_a_share) {
    request_limit limit = limited(30.0, 0.0);
    EXPECT_FALSE(limit.has_share());
    EXPECT_EQ(sent_within(limit, start, request_limit::min_check_interval), 0U);
    EXPECT_EQ(sent_within(limit, start, 10 * request_limit::min_check_interval), 9U);
}

std::vector<host_id> named_hosts(std::size_t count) {
    std::vector<host_id> hosts;
    for (std::size_t host = 0; host < count; ++host) {
        hosts.emplace_back("h" + std::to_string(host));
    }
    return hosts;
}

TEST(limit_share, adds_up_to_the_limit_and_is_a_request_a_second_at_least) {
    const target_id target{"t"};
    for (const std::size_t count : {1U, 9U, 71U, 560U}) {
        const std::vector<host_id> hosts = named_hosts(count);
        for (const double limit : {0.0, 0.5, 1.0, 8.9, 30.4, 640.0}) {
            double sum = 0.0;
            for (const host_id& host : hosts) {
                const double share = limit_share(limit, hosts, host, target, count);
                sum += share;
                EXPECT_TRUE(share == 0.0 || share * limit >= std::min(limit, 1.0) - 1e-9) << limit;
            }
            EXPECT_NEAR(sum, 1.0, 1e-9) << count << " hosts, limit " << limit;
        }
    }
}

TEST(limit_share, is_divided_by_the_hosts_that_have_connections) {
    const std::vector<host_id> hosts = named_hosts(100);
    const sharing_hosts sharing{hosts, {}};
    const target_id target{"t"};
    for (const host_id& host : hosts) {
        const bool connects = connection_share(26, sharing, host, target, 1h) > 0;
        const double share = limit_share(640.0, hosts, host, target, connected_hosts(26, sharing));
        EXPECT_EQ(share > 0.0, connects);
    }
    EXPECT_EQ(limit_share(640.0, hosts, host_id{"on standby"}, target, 100), 0.0);
}

TEST(limit_sharing, counts_a_departed_host_for_some_time) {
    limit_sharing sharing;
    sharing.on_hosts(start, named_hosts(3), false);
    sharing.on_hosts(start + 1s, named_hosts(2), false);
    EXPECT_EQ(sharing.hosts(start + 1s), named_hosts(3));
    EXPECT_EQ(sharing.hosts(start + 1s + limit_sharing::departure_time), named_hosts(2));
}

TEST(limit_sharing, forgets_no_host_while_isolated) {
    limit_sharing sharing;
    sharing.on_hosts(start, named_hosts(9), false);
    sharing.on_hosts(start + 1s, named_hosts(1), true);
    EXPECT_EQ(sharing.hosts(start + 1h).size(), 9U);
    sharing.on_hosts(start + 1h, named_hosts(4), false);
    EXPECT_EQ(sharing.hosts(start + 1h), named_hosts(4));
}

} // namespace
} // namespace tamarack
