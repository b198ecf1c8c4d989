#include "forwarding_world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

constexpr time_point start{1h};

TEST(target_backoff, withholds_a_target_for_the_requested_time) {
    random_source random{1};
    target_backoff backoff;
    EXPECT_TRUE(backoff.allows(start, 100));
    backoff.on_requested(start, 2s, random);
    EXPECT_FALSE(backoff.allows(start, 0));
    EXPECT_FALSE(backoff.allows(start + 2s - 1us, 0));
    EXPECT_TRUE(backoff.allows(backoff.ends_at(), 0));
    EXPECT_LE(backoff.ends_at(), start + 2s + 400ms);
}

TEST(target_backoff, is_not_shortened_by_a_shorter_request) {
    random_source random{1};
    target_backoff backoff;
    backoff.on_requested(start, 5s, random);
    backoff.on_requested(start + 100ms, 10ms, random);
    EXPECT_TRUE(backoff.is_in_backoff(start + 5s - 1us));
}

TEST(target_backoff, resumes_with_one_exchange_and_allows_more_with_each_success) {
    random_source random{1};
    target_backoff backoff;
    backoff.on_requested(start, 1s, random);
    const time_point back = backoff.ends_at();
    EXPECT_TRUE(backoff.allows(back, 0));
    EXPECT_FALSE(backoff.allows(back, 1));
    backoff.on_success();
    EXPECT_TRUE(backoff.allows(back, 1));
    EXPECT_FALSE(backoff.allows(back, 2));
    for (int success = 0; success < 20; ++success) {
        backoff.on_success();
    }
    EXPECT_TRUE(backoff.allows(back, 1'000));
}

TEST(target_backoff, ends_at_a_different_time_on_each_host) {
    std::set<time_point> ends;
    for (std::uint64_t host = 1; host <= 20; ++host) {
        random_source random{host};
        target_backoff backoff;
        backoff.on_requested(start, 2s, random);
        ends.insert(backoff.ends_at());
    }
    EXPECT_GE(ends.size(), 18U);
    EXPECT_GE(*ends.rbegin() - *ends.begin(), duration{200ms});
}

TEST(withheld_targets, remembers_one_incarnation_of_a_target) {
    withheld_targets withheld;
    withheld.on_leaving(target_id{"t"}, incarnation_id{5});
    EXPECT_TRUE(withheld.has_left(target_id{"t"}, incarnation_id{5}));
    EXPECT_FALSE(withheld.has_left(target_id{"t"}, incarnation_id{6}));
    EXPECT_FALSE(withheld.has_left(target_id{"u"}, incarnation_id{5}));
}

TEST(withheld_targets, evicts_the_oldest_entry_when_full) {
    withheld_targets withheld;
    for (std::size_t target = 0; target <= withheld_targets::max_entries; ++target) {
        withheld.on_leaving(target_id{"t" + std::to_string(target)}, incarnation_id{1});
    }
    EXPECT_EQ(withheld.size(), withheld_targets::max_entries);
    EXPECT_FALSE(withheld.has_left(target_id{"t0"}, incarnation_id{1}));
    EXPECT_TRUE(withheld.has_left(target_id{"t1"}, incarnation_id{1}));
}

void add_lookup(forwarding_world& world, std::size_t replicas) {
    world_target behaviour;
    behaviour.queue = 4;
    world.add_service("s", replicas, behaviour);
    route& lookup = world.add_route("lookup", {"s"});
    lookup.timeout = 5s;
    lookup.objective = 400ms;
}

void expect_guarantees(const forwarding_world& world) {
    EXPECT_TRUE(world.violations().empty()) << world.violations().front();
    EXPECT_EQ(world.unanswered(), 0U);
}

/** Makes one replica full from 3 s on, requesting a backoff with each refusal. */
void make_one_replica_full(forwarding_world& world, duration requested_backoff) {
    world.at(3s, [&world, requested_backoff] {
        world.target("s-1").full = true;
        world.target("s-1").requested_backoff = requested_backoff;
    });
}

/** All replicas of a service are full for three seconds and request backoffs, while callers continue. */
struct all_replicas_full : ::testing::Test {
    void SetUp() override {
        add_lookup(m_world, 3);
        m_world.publish();
        m_world.at(4s, [this] { set_full(true); });
        m_world.at(7s, [this] { set_full(false); });
        m_world.load("lookup", 120.0, 1s, 16s);
        m_world.run_until(22s);
    }

    void set_full(bool full) {
        m_world.for_each_target([full](const std::string&, world_target& target) {
            target.full = full;
            target.requested_backoff = 2s;
        });
    }

    forwarding_world m_world{21, 6};
};

TEST_F(all_replicas_full, sends_nothing_to_a_target_in_backoff) {
    expect_guarantees(m_world);
    EXPECT_LE(m_world.max_during_backoff(), 2U);
}

TEST_F(all_replicas_full, refuses_at_once_with_a_retry_delay) {
    std::size_t refused = 0;
    for (const world_result& result : m_world.results()) {
        if (result.reason != forward_reason::targets_in_backoff) {
            continue;
        }
        ++refused;
        EXPECT_EQ(result.outcome, forward_outcome::not_run);
        EXPECT_EQ(result.taken, duration{0});
        EXPECT_GT(result.retry_after, duration{0});
        EXPECT_LE(result.retry_after, 3600ms) << "a backoff of 2 s, its spread, and half of both as jitter";
    }
    EXPECT_GE(refused, 100U);
}

TEST_F(all_replicas_full, recovers_soon_after_the_targets_do) {
    EXPECT_GE(m_world.good_share(10s, 16s), 0.97);
}

TEST(load_pattern, without_honouring_backoff_full_targets_get_more_exchanges) {
    forwarding_options options;
    options.protections.honour_backoff = false;
    forwarding_world world{21, 6, options};
    add_lookup(world, 3);
    world.publish();
    world.at(4s, [&] {
        world.for_each_target([](const std::string&, world_target& target) {
            target.full = true;
            target.requested_backoff = 2s;
        });
    });
    world.load("lookup", 120.0, 1s, 7s);
    world.run_until(12s);
    EXPECT_GT(world.max_during_backoff(), 2U);
}

TEST(load_pattern, without_honouring_leaving_a_leaving_target_gets_more_exchanges) {
    forwarding_options options;
    options.protections.honour_leaving = false;
    forwarding_world world{24, 3, options};
    add_lookup(world, 3);
    world.publish();
    world.at(3s, [&] { world.target("s-1").announces_leaving = true; });
    world.load("lookup", 60.0, 1s, 9s);
    world.run_until(14s);
    EXPECT_GT(world.arrivals_after_leaving("s-1"), 0U);
}

/** One replica of three is full: the others take over its load, and no request is refused. */
TEST(load_pattern, a_replica_in_backoff_is_not_used_while_the_others_serve) {
    forwarding_world world{22, 4};
    add_lookup(world, 3);
    world.publish();
    make_one_replica_full(world, 3s);
    world.load("lookup", 80.0, 1s, 11s);
    world.run_until(16s);
    expect_guarantees(world);
    EXPECT_LE(world.max_during_backoff(), 2U);
    EXPECT_GE(world.good_share(3s, 11s), 0.98);
}

TEST(load_pattern, a_backoff_persists_while_its_target_leaves_the_view_and_returns) {
    forwarding_world world{23, 2};
    add_lookup(world, 2);
    world.publish();
    make_one_replica_full(world, 4s);
    world.at(4s, [&] {
        world.hide("s-1");
        world.publish();
    });
    world.at(4500ms, [&] {
        world.show("s-1");
        world.publish();
    });
    world.load("lookup", 60.0, 1s, 8s);
    world.run_until(13s);
    expect_guarantees(world);
    EXPECT_LE(world.max_during_backoff(), 2U);
}

/** A target announces in its replies that it is leaving, while the membership still lists it as ready. */
TEST(load_pattern, a_leaving_target_gets_no_more_exchanges_in_that_incarnation) {
    forwarding_world world{24, 3};
    add_lookup(world, 3);
    world.publish();
    world.at(3s, [&] { world.target("s-1").announces_leaving = true; });
    for (int second = 4; second < 9; ++second) {
        world.at(std::chrono::seconds{second}, [&] { world.publish(); });
    }
    world.load("lookup", 60.0, 1s, 9s);
    world.run_until(14s);
    expect_guarantees(world);
    EXPECT_GT(world.arrivals("s"), 0U);
    EXPECT_EQ(world.arrivals_after_leaving("s-1"), 0U);
    EXPECT_GE(world.good_share(3s, 9s), 0.98) << "running work is completed";
}

TEST(load_pattern, the_next_incarnation_of_a_target_that_left_is_used) {
    forwarding_world world{25, 1};
    add_lookup(world, 1);
    world.publish();
    world.at(2s, [&] { world.target("s-0").announces_leaving = true; });
    world.at(4s, [&] {
        world.target("s-0").announces_leaving = false;
        world.target("s-0").info.incarnation = incarnation_id{2};
        world.publish();
    });
    world.load("lookup", 30.0, 1s, 8s);
    world.run_until(12s);
    EXPECT_GE(world.good_share(5s, 8s), 0.95);
}

/** One shard has no targets: the answer is sent as soon as the other shards have replied. */
TEST(load_pattern, an_answer_does_not_wait_for_a_shard_without_targets) {
    forwarding_world world{26, 2};
    std::vector<std::string> shards;
    for (int shard = 0; shard < 10; ++shard) {
        shards.push_back("s" + std::to_string(shard));
        world.add_service(shards.back(), 2, {});
    }
    route& match = world.add_route("match", shards);
    match.timeout = 2s;
    match.objective = 1s;
    match.least_coverage = 0.89;
    world.hide("s4-0");
    world.hide("s4-1");
    world.publish();
    world.load("match", 30.0, 1s, 4s);
    world.run_until(8s);
    ASSERT_FALSE(world.results().empty());
    for (const world_result& result : world.results()) {
        EXPECT_EQ(result.covered, 9U);
        EXPECT_LT(result.taken, duration{500ms});
    }
}

} // namespace
} // namespace tamarack
