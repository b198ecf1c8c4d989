#include "forwarding_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};
constexpr duration first_delay = 100ms;

forwarding_options without_backoff() {
    forwarding_options options;
    options.mechanisms.switch_off(forwarding_mechanism::connection_backoff);
    return options;
}

/** Eight hosts and two targets; the limits are divided between the hosts as in the daemon. */
void add_orders(forwarding_world& world, std::size_t accepted, std::size_t accepted_with_queue) {
    world_target behaviour;
    behaviour.work = 20ms;
    behaviour.slots = 4;
    behaviour.queue = 40;
    behaviour.connections = 40;
    behaviour.accepted = accepted;
    behaviour.accepted_with_queue = accepted_with_queue;
    world.add_service("orders", 2, behaviour);
    route& fetch = world.add_route("fetch", {"orders"});
    fetch.timeout = 1200ms;
    fetch.objective = 300ms;
}

/** Fails if a host reopens connections at once that a target resets because its queue is long. */
TEST(connection_backoff, a_target_that_accepts_fewer_connections_gets_fewer_attempts) {
    std::size_t resets_without = 0;
    double good_without = 0;
    for (const bool used : {false, true}) {
        forwarding_world world{21, 8, used ? forwarding_options{} : without_backoff()};
        add_orders(world, 40, 12);
        world.publish();
        world.load("fetch", 150.0, 1s, 15s);
        world.load("fetch", 250.0, 3s, 11s);
        world.run_until(20s);
        EXPECT_TRUE(world.violations().empty());
        EXPECT_EQ(world.unanswered(), 0U);
        if (!used) {
            resets_without = world.resets();
            good_without = world.good_share(1s, 15s);
            EXPECT_GE(resets_without, 100U);
            continue;
        }
        EXPECT_LE(world.resets(), resets_without / 4);
        EXPECT_GE(world.good_share(1s, 15s), good_without - 0.02);
        EXPECT_GE(world.good_share(13s, 15s), 0.98);
    }
}

/** Fails if the backoff changes anything while targets accept all connections. */
TEST(connection_backoff, changes_nothing_while_targets_accept_connections) {
    std::vector<std::uint64_t> opened;
    for (const bool used : {false, true}) {
        forwarding_world world{22, 8, used ? forwarding_options{} : without_backoff()};
        add_orders(world, 0, 0);
        world.publish();
        world.load("fetch", 250.0, 1s, 6s);
        world.run_until(8s);
        std::uint64_t connections = 0;
        for (std::size_t host = 0; host < 8; ++host) {
            connections += world.statistics(host).connections_opened;
        }
        opened.push_back(connections);
    }
    EXPECT_EQ(opened[0], opened[1]);
}

/** Fails if the backoff costs objectives while a faulty target loses replies together with their connections.
 */
TEST(connection_backoff, lost_replies_cost_no_connections) {
    double good_without = 0;
    for (const bool used : {false, true}) {
        forwarding_world world{23, 8, used ? forwarding_options{} : without_backoff()};
        add_orders(world, 0, 0);
        world.target("orders-0").lost_reply_share = 0.4;
        world.publish();
        world.load("fetch", 150.0, 1s, 8s);
        world.run_until(10s);
        const double good = world.good_share(1s, 8s);
        EXPECT_GE(good, good_without - 0.02);
        good_without = good;
    }
}

/** Fails if connections that a faulty target loses together with their replies are taken for refusals. */
TEST(connection_backoff, ignores_refusals_after_the_loss_of_a_served_connection) {
    random_source random{3};
    connection_backoff backoff;
    backoff.on_served_connection_lost(start);
    backoff.on_refused(start + 500ms, 2, first_delay, random);
    EXPECT_TRUE(backoff.may_open(start + 500ms, 5));
    backoff.on_refused(start + 1500ms, 2, first_delay, random);
    EXPECT_FALSE(backoff.may_open(start + 1500ms, 2));
}

TEST(connection_backoff, waits_longer_with_each_refusal_and_grows_one_by_one) {
    random_source random{1};
    connection_backoff backoff;
    time_point now = start;
    EXPECT_TRUE(backoff.may_open(now, 5));
    duration before{0};
    for (int refusal = 0; refusal < 5; ++refusal) {
        backoff.on_refused(now, 2, first_delay, random);
        const duration delay = backoff.opens_at() - now;
        EXPECT_GT(delay, before);
        EXPECT_FALSE(backoff.may_open(now + delay - 1ms, 0));
        EXPECT_TRUE(backoff.may_open(now + delay, 2));
        EXPECT_FALSE(backoff.may_open(now + delay, 3));
        before = delay;
        now += delay;
    }
    backoff.on_served(now, 3, 5, first_delay);
    EXPECT_FALSE(backoff.may_open(now, 3));
    now += 2 * first_delay;
    EXPECT_TRUE(backoff.may_open(now, 3));
    EXPECT_FALSE(backoff.may_open(now, 4));
    backoff.on_served(now, 5, 5, first_delay);
    EXPECT_TRUE(backoff.may_open(now + 2 * first_delay, 10));
}

TEST(connection_backoff, forgets_the_allowance_and_asks_soon_without_any_connection) {
    random_source random{2};
    connection_backoff backoff;
    for (int refusal = 0; refusal < 20; ++refusal) {
        backoff.on_refused(start, 0, first_delay, random);
    }
    EXPECT_LE(backoff.opens_at() - start, 2400ms);
    EXPECT_TRUE(backoff.may_open(start + 31s, 10));
}

} // namespace
} // namespace tamarack
