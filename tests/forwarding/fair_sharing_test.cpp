#include "forwarding_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {
namespace {

constexpr int small_teams = 70;
constexpr duration from = 5s;
constexpr duration until = 25s;

bool is_small(const std::string& team) {
    return team != "large";
}

forwarding_options without(forwarding_mechanism mechanism) {
    forwarding_options options;
    options.mechanisms.switch_off(mechanism);
    return options;
}

/** Four hosts, and a service of three targets that complete about 700 requests a second. */
std::unique_ptr<forwarding_world> teams_world(forwarding_options options, std::size_t slots = 2) {
    auto world = std::make_unique<forwarding_world>(11, 4, std::move(options));
    world_target behaviour;
    behaviour.slots = slots;
    behaviour.queue = 40;
    world->add_service("fetch", 3, behaviour);
    route& fetch = world->add_route("fetch", {"fetch"});
    fetch.timeout = 800ms;
    fetch.objective = 100ms;
    world->add_team("large");
    for (int team = 0; team < small_teams; ++team) {
        world->add_team("small-" + std::to_string(team));
    }
    world->publish();
    return world;
}

/** Load pattern: seventy small teams send a few requests a second each; a large one sends 40, then 400. */
void run_surge(forwarding_world& world, double small_rate = 6.0) {
    for (int team = 0; team < small_teams; ++team) {
        world.load("fetch", small_rate, 1s, until, "small-" + std::to_string(team));
    }
    world.load("fetch", 40.0, 1s, from, "large");
    world.load("fetch", 400.0, from, until, "large");
    world.run_until(until + 3s);
    EXPECT_TRUE(world.violations().empty());
    EXPECT_EQ(world.unanswered(), 0U);
}

TEST(fair_sharing, lets_a_team_at_ten_times_its_load_pay_instead_of_its_neighbours) {
    const auto fair = teams_world({});
    run_surge(*fair);
    const auto unfair = teams_world(without(forwarding_mechanism::team_fairness));
    run_surge(*unfair);
    EXPECT_GE(fair->good_share_of(from, until, is_small), 0.97);
    EXPECT_LE(unfair->good_share_of(from, until, is_small), 0.93);
    EXPECT_GT(fair->gave_way(), 0U);
    EXPECT_EQ(unfair->gave_way(), 0U);
}

/** Guards against starvation: the small teams alone exceed the capacity, so that it is short all the time. */
TEST(fair_sharing, serves_every_team_at_least_a_quarter_as_often_as_all) {
    const auto world = teams_world({});
    run_surge(*world, 12.0);
    EXPECT_GT(world->gave_way(), 0U);
    const double all = world->good_share_of(from, until, [](const std::string&) { return true; });
    std::set<std::string> teams;
    for (const world_result& result : world->results()) {
        teams.insert(result.team);
    }
    ASSERT_EQ(teams.size(), small_teams + 1U);
    for (const std::string& name : teams) {
        EXPECT_GE(world->good_share_of(from, until, [&](const std::string& team) { return team == name; }),
                  0.25 * all)
            << name;
    }
}

/** Guards the neighbours: the large team gives way as soon as capacity is short, before any is refused. */
TEST(team_shares, names_the_largest_team_before_any_request_is_refused) {
    team_shares shares;
    const time_point now{1h};
    for (int request = 0; request < 30; ++request) {
        for (const std::string& team : {std::string{"large"}, "small-" + std::to_string(request % 10)}) {
            shares.on_arrival(now, team, 100.0);
            shares.on_admitted(team, 100.0);
        }
    }
    EXPECT_TRUE(shares.gives_way(now, "large"));
    EXPECT_FALSE(shares.gives_way(now, "small-0"));
    EXPECT_FALSE(shares.gives_way(now, "unknown"));
}

/** Guards against starvation of a team above its share if capacity stays short for a minute. */
TEST(team_shares, never_starve_the_team_that_gives_way) {
    team_shares shares;
    time_point now{1h};
    int admitted = 0;
    for (int step = 0; step < 600; ++step) {
        now += 100ms;
        for (const std::string& team : {std::string{"large"}, "small-" + std::to_string(step % 10)}) {
            shares.on_arrival(now, team, 100.0);
            if (!shares.gives_way(now, team)) {
                shares.on_admitted(team, 100.0);
                admitted += team == "large" ? 1 : 0;
            }
        }
    }
    EXPECT_GE(admitted, 600 / 4);
    EXPECT_LE(admitted, 600 / 2);
}

/** Guards teams that send little: one request with more work than those of others is no surge. */
TEST(team_shares, do_not_judge_a_team_by_a_single_request) {
    team_shares shares;
    const time_point now{1h};
    for (const std::string team : {"one", "two", "three"}) {
        const double work = team == "one" ? 1'000.0 : 100.0;
        shares.on_arrival(now, team, work);
        shares.on_admitted(team, work);
    }
    EXPECT_FALSE(shares.gives_way(now, "one"));
}

/** Guards against a surge that is held against a team for long, and against endless memory. */
TEST(team_shares, forget_a_surge) {
    team_shares shares;
    time_point now{1h};
    for (int request = 0; request < 100; ++request) {
        shares.on_arrival(now, "former-" + std::to_string(request % 20), 100.0);
        shares.on_admitted("former-" + std::to_string(request % 20), 100.0);
    }
    for (int second = 0; second < 300; ++second) {
        now += 1s;
        for (const std::string team : {"one", "two"}) {
            shares.on_arrival(now, team, 100.0);
            shares.on_admitted(team, 100.0);
        }
    }
    EXPECT_FALSE(shares.gives_way(now, "former-1"));
    EXPECT_EQ(shares.teams(), 2U);
}

/** Guards against refusals of a large team while there is capacity for all. */
TEST(fair_sharing, refuses_nobody_without_shortage) {
    const auto world = teams_world({}, 4);
    run_surge(*world);
    EXPECT_EQ(world->gave_way(), 0U);
    EXPECT_GE(world->good_share_of(from, until, [](const std::string&) { return true; }), 0.99);
}

/** Most returns within a period of 10 ms. */
std::size_t largest_wave(const std::vector<duration>& delays) {
    std::map<std::int64_t, std::size_t> waves;
    for (const duration delay : delays) {
        ++waves[delay / 10ms];
    }
    return std::ranges::max_element(waves, {}, [](const auto& wave) { return wave.second; })->second;
}

/** Load pattern: a hundred callers are refused within 10 ms, where one request takes 2 ms. */
TEST(return_pacing, tells_each_caller_a_time_of_its_own) {
    return_pacing pacing;
    random_source random{3};
    std::vector<duration> delays;
    for (int caller = 0; caller < 100; ++caller) {
        const duration at = caller * 100us;
        const duration delay = pacing.next(time_point{1h} + at, {20ms, 2ms, 260ms}, random);
        EXPECT_GE(delay, 20ms);
        EXPECT_LE(delay, 260ms);
        delays.push_back(at + delay);
    }
    EXPECT_LE(largest_wave(delays), 7U);
}

/** Guards callers with little time left: they would return too late, or all at the same last moment. */
TEST(return_pacing, spreads_callers_for_whom_capacity_becomes_free_too_late) {
    return_pacing pacing;
    random_source random{3};
    std::vector<duration> delays;
    for (int caller = 0; caller < 200; ++caller) {
        delays.push_back(pacing.next(time_point{1h}, {20ms, 10ms, 120ms}, random));
        EXPECT_LE(delays.back(), 120ms);
    }
    EXPECT_LE(largest_wave(delays), 40U);
}

TEST(return_pacing, changes_nothing_if_no_other_caller_was_refused_lately) {
    return_pacing pacing;
    random_source random{3};
    random_source same{3};
    for (int second = 0; second < 5; ++second) {
        EXPECT_EQ(pacing.next(time_point{1h} + second * 1s, {50ms, 2ms, 200ms}, random),
                  add_retry_jitter(50ms, same));
    }
}

/** What a load pattern led to. */
struct return_result {
    std::size_t wave = 0;    ///< most returns within 10 ms
    std::size_t in_time = 0; ///< callers that were served within their objective, at once or after a return
};

/** Load pattern: two of four hosts are gone, and the others receive the requests of all callers at once. */
return_result lose_half_of_the_hosts(std::uint64_t seed, forwarding_options options) {
    forwarding_world world{seed, 4, std::move(options)};
    world_target behaviour;
    behaviour.queue = 40;
    world.add_service("fetch", 3, behaviour);
    route& fetch = world.add_route("fetch", {"fetch"});
    fetch.timeout = 1'200ms;
    fetch.objective = 400ms;
    world.publish();
    world.let_callers_return();
    world.load("fetch", 300.0, 1s, 5s);
    world.at(3s, [&] {
        world.put_on_standby(0);
        world.put_on_standby(1);
        world.publish();
        for (int caller = 0; caller < 600; ++caller) {
            world.send_one("fetch");
        }
    });
    world.run_until(8s);
    EXPECT_TRUE(world.violations().empty());
    EXPECT_EQ(world.unanswered(), 0U);
    std::vector<duration> returns;
    return_result result;
    for (const world_result& ended : world.results()) {
        if (ended.is_return) {
            returns.push_back(ended.arrived.time_since_epoch());
        }
        result.in_time += ended.in_objective ? 1 : 0;
    }
    result.wave = largest_wave(returns);
    return result;
}

TEST(return_pacing, spreads_all_callers_that_come_back_at_once) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const return_result paced = lose_half_of_the_hosts(seed, {});
        const return_result unpaced =
            lose_half_of_the_hosts(seed, without(forwarding_mechanism::return_pacing));
        EXPECT_LE(2 * paced.wave, unpaced.wave);
        EXPECT_GE(paced.in_time, unpaced.in_time);
    }
}

} // namespace
} // namespace tamarack
