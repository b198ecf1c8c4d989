#include "support/checks/extra_load_check.h"

#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace tamarack {
namespace {

constexpr time_point start{1h};

std::shared_ptr<const route_table>
table_with(const std::vector<std::pair<std::string, std::string>>& places) {
    auto table = std::make_shared<route_table>();
    for (const auto& [authority, prefix] : places) {
        route item;
        item.name = authority + prefix;
        item.authority = authority;
        item.prefix = prefix;
        table->routes.push_back(item);
    }
    return table;
}

TEST(route_index, finds_the_longest_prefix_of_the_authority) {
    const route_index index{
        table_with({{"a.example", "/"}, {"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/z/"}})};
    EXPECT_EQ(index.find("a.example", "/x/y/1")->prefix, "/x/y/");
    EXPECT_EQ(index.find("a.example", "/x/1")->prefix, "/x/");
    EXPECT_EQ(index.find("a.example", "/other")->prefix, "/");
    EXPECT_EQ(index.find("b.example", "/x/1"), nullptr);
    EXPECT_EQ(index.find("c.example", "/"), nullptr);
}

TEST(split_balancer, keeps_to_the_weights_over_any_run_of_requests) {
    route split;
    split.name = "split";
    split.destination = route_destination::split;
    split.services = {{service_id{"a"}, 70}, {service_id{"b"}, 25}, {service_id{"c"}, 5}};
    split_balancer balancer;
    std::map<std::size_t, int> counts;
    for (int request = 0; request < 200; ++request) {
        ++counts[balancer.next(split)];
    }
    EXPECT_EQ(counts[0], 140);
    EXPECT_EQ(counts[1], 50);
    EXPECT_EQ(counts[2], 10);
}

TEST(split_balancer, never_chooses_a_weight_of_zero) {
    route split;
    split.name = "split";
    split.services = {{service_id{"a"}, 0}, {service_id{"b"}, 1}};
    split_balancer balancer;
    for (int request = 0; request < 20; ++request) {
        EXPECT_EQ(balancer.next(split), 1U);
    }
}

std::string record(char first) {
    return std::string(1, first) + std::string(record_bytes - 1, 'x');
}

TEST(record_merge, keeps_the_greatest_records_of_all_parts_in_descending_order) {
    const std::string one = record('b') + record('d') + "rest";
    const std::string two = record('a') + record('e') + record('d');
    EXPECT_EQ(merge_greatest({&one, &two}, 4), record('e') + record('d') + record('d') + record('b'));
    EXPECT_EQ(merge_greatest({&one, &two}, 100).size(), 5 * record_bytes);
    EXPECT_EQ(merge_greatest({}, 5), "");
}

TEST(record_merge, compares_bytes_as_unsigned_numbers) {
    const std::string part = record('\x7f') + record('\xff');
    EXPECT_EQ(merge_greatest({&part}, 1), record('\xff'));
}

TEST(record_merge, merges_merged_parts_to_the_same_records) {
    const std::string one = record('b') + record('d');
    const std::string two = record('a') + record('e');
    const std::string three = record('c') + record('f');
    const std::string inner = merge_greatest({&one, &two}, 3);
    EXPECT_EQ(merge_greatest({&inner, &three}, 3), merge_greatest({&one, &two, &three}, 3));
}

TEST(extra_budget, keeps_the_bound_of_all_hosts_in_any_sliding_window) {
    constexpr std::size_t hosts = 9;
    const extra_budget_limits limits{0.2, 58.0, 10s};
    std::vector<extra_budget> budgets(hosts, extra_budget{limits});
    random_source random{1};
    std::vector<time_point> requests;
    std::vector<time_point> taken;
    for (time_point now = start; now < start + 60s; now += 5ms) {
        const bool busy = (now - start) % 20s < 12s;
        const std::size_t host = random.below(hosts);
        if (busy || random.chance(0.05)) {
            budgets[host].on_request(now);
            requests.push_back(now);
        }
        if (budgets[host].try_open(now, 1.0 / hosts)) {
            budgets[host].close(now);
            taken.push_back(now);
        }
    }
    for (time_point end = start + 10s; end < start + 60s; end += 100ms) {
        const auto within = [&](const std::vector<time_point>& times, duration span) {
            return static_cast<double>(std::count_if(times.begin(), times.end(), [&](time_point when) {
                return when > end - span && when <= end;
            }));
        };
        EXPECT_LE(within(taken, 10s), 0.2 * within(requests, 10s) + 58.0) << (end - start).count();
    }
    EXPECT_GT(taken.size(), 300U);
}

/** Bursts of requests, each followed by as many extra exchanges as the budget allows. */
TEST(extra_budget, keeps_the_bound_when_load_comes_in_bursts_a_window_apart) {
    const extra_budget_limits limits{0.2, 58.0, 10s};
    for (const duration period : {3000ms, 4900ms, 5100ms, 7000ms, 9900ms, 10200ms, 10400ms, 13000ms}) {
        extra_budget budget{limits};
        testing_support::extra_load_check check;
        int extra_exchange = 0;
        for (time_point now = start; now < start + 2min; now += 10ms) {
            const duration into_burst = (now - start) % period;
            for (int request = 0; into_burst < 200ms && request < 25; ++request) {
                budget.on_request(now);
                check.on_request(now.time_since_epoch(), "s");
            }
            while (into_burst >= 200ms && budget.try_open(now, 1.0)) {
                budget.close(now);
                check.on_arrival(now.time_since_epoch(), "s", std::to_string(extra_exchange));
                check.on_arrival(now.time_since_epoch(), "s", std::to_string(extra_exchange++));
            }
        }
        for (const auto& breach : check.breaches({limits.ratio, limits.allowance, limits.window})) {
            ADD_FAILURE() << "bursts every " << period / 1ms << " ms: " << breach.extra
                          << " extra exchanges, " << breach.allowed << " are allowed";
        }
        EXPECT_GT(extra_exchange, 500);
    }
}

TEST(extra_budget, an_open_charge_counts_until_it_is_cancelled_and_falls_into_the_window_that_closes_it) {
    extra_budget budget{{0.2, 10.0, 10s}};
    const double before = budget.available(start, 1.0);
    ASSERT_TRUE(budget.try_open(start, 1.0));
    EXPECT_EQ(budget.available(start, 1.0), before - 1.0);
    EXPECT_EQ(budget.available(start + 30s, 1.0), before - 1.0) << "it may still arrive";
    budget.cancel();
    EXPECT_EQ(budget.available(start + 30s, 1.0), before);
    ASSERT_TRUE(budget.try_open(start, 1.0));
    budget.close(start + 30s);
    EXPECT_EQ(budget.available(start + 39s, 1.0), before - 1.0);
    EXPECT_EQ(budget.available(start + 41s, 1.0), before);
}

placement_demand usual_demand() {
    return {8ms, 15ms, 80ms};
}

TEST(placement, prefers_fast_idle_and_near_targets) {
    placement_candidate base;
    base.slots = 2;
    placement_candidate slow = base;
    slow.speed = 3.0;
    placement_candidate loaded = base;
    loaded.reported = 4;
    loaded.report_age = 1ms;
    placement_candidate far = base;
    far.far = true;
    const double cost = placement_cost(base, usual_demand());
    EXPECT_LT(cost, placement_cost(slow, usual_demand()));
    EXPECT_LT(cost, placement_cost(loaded, usual_demand()));
    EXPECT_LT(cost, placement_cost(far, usual_demand()));
}

/** Load pattern: a replica of the shard in each data centre, and the usual fluctuations of their load. */
TEST(placement, leaves_the_data_center_only_for_a_share_of_the_objective) {
    constexpr int draws = 200;
    const placement_demand demand{28ms, 50ms, 200ms};
    placement_candidate near;
    near.slots = 5;
    near.report_age = 0ms;
    placement_candidate far = near;
    far.far = true;
    random_source random{1};
    const auto near_choices = [&](std::uint32_t near_load) {
        near.reported = near_load;
        int chosen = 0;
        for (int draw = 0; draw < draws; ++draw) {
            chosen += place({near, far}, demand, random) == 0 ? 1 : 0;
        }
        return chosen;
    };
    EXPECT_EQ(near_choices(5), draws) << "the queue costs 6 ms";
    EXPECT_EQ(near_choices(14), 0) << "the queue costs 56 ms";
}

TEST(abandoned_exchange, is_cancelled_only_while_its_target_has_a_queue) {
    const target_load queued{5, 3, 5};
    EXPECT_TRUE(cancels_work({queued, 50ms, 5}));
    EXPECT_FALSE(cancels_work({target_load{5, 0, 5}, 50ms, 5}));
    EXPECT_FALSE(cancels_work({queued, 2s, 5})) << "the queue may have been worked off";
    EXPECT_FALSE(cancels_work({std::nullopt, 50ms, 5}));
}

TEST(placement, discounts_load_reports_by_age) {
    placement_candidate candidate;
    candidate.slots = 2;
    candidate.reported = 8;
    candidate.report_age = 1ms;
    const double fresh = placement_cost(candidate, usual_demand());
    candidate.report_age = 1s;
    EXPECT_LT(placement_cost(candidate, usual_demand()), fresh);
}

TEST(placement, avoids_a_paused_target_until_it_answers) {
    placement_candidate paused;
    paused.slots = 2;
    paused.own_exchanges = 1;
    paused.oldest_exchange = 60ms;
    placement_candidate busy;
    busy.slots = 2;
    busy.own_exchanges = 2;
    busy.speed = 2.0;
    busy.oldest_exchange = 10ms;
    EXPECT_GT(placement_cost(paused, usual_demand()), placement_cost(busy, usual_demand()));
}

TEST(placement, uses_an_ejected_target_only_when_there_is_no_other) {
    placement_candidate ejected;
    ejected.ejected = true;
    placement_candidate terrible;
    terrible.speed = 6.0;
    terrible.error_share = 0.9;
    terrible.own_exchanges = 9;
    terrible.oldest_exchange = 1s;
    random_source random{1};
    EXPECT_EQ(place({ejected, terrible}, usual_demand(), random), 1U);
    EXPECT_EQ(place({ejected}, usual_demand(), random), 0U);
}

std::vector<host_id> many_hosts(std::size_t count) {
    std::vector<host_id> hosts;
    for (std::size_t host = 0; host < count; ++host) {
        hosts.emplace_back("10.1.0." + std::to_string(host));
    }
    return hosts;
}

constexpr duration long_up = 1h;

/**
 * Load pattern: all hosts start at once and do not know each other yet, while targets still count previous
 * connections.
 */
TEST(connection_share, a_host_that_has_just_started_takes_one_connection) {
    const auto alone = many_hosts(1);
    EXPECT_EQ(connection_share(26, {alone, {}}, alone[0], target_id{"i-1"}, 100ms), 1U);
    EXPECT_EQ(connection_share(26, {alone, {}}, alone[0], target_id{"i-1"}, discovery_time), 26U);
    const auto many = many_hosts(9);
    EXPECT_EQ(connection_share(26, {many, {}}, many[3], target_id{"i-1"}, 100ms), 1U);
}

TEST(connection_share, never_gives_out_more_than_a_target_accepts) {
    for (const std::uint32_t limit : {1U, 26U, 43U, 67U, 130U}) {
        for (const std::size_t count : {1U, 3U, 9U, 26U, 27U, 71U, 560U}) {
            const auto hosts = many_hosts(count);
            std::size_t sum = 0;
            for (const host_id& host : hosts) {
                sum += connection_share(limit, {hosts, {}}, host, target_id{"i-1"}, long_up);
            }
            EXPECT_LE(sum, limit) << limit << " over " << count;
            EXPECT_GE(sum, 1U);
        }
    }
}

TEST(connection_share, leaves_nearly_every_host_a_replica_of_each_shard) {
    const auto hosts = many_hosts(71);
    std::size_t without = 0;
    for (int shard = 0; shard < 36; ++shard) {
        for (const host_id& host : hosts) {
            std::size_t reachable = 0;
            for (int replica = 0; replica < 3; ++replica) {
                const target_id target{"i-" + std::to_string(shard) + "-" + std::to_string(replica)};
                reachable += connection_share(67, {hosts, {}}, host, target, long_up);
            }
            without += reachable == 0 ? 1 : 0;
        }
    }
    EXPECT_LE(without, 36U * 71U / 50U);
}

/** Load pattern: many slow hosts are on standby while a few fast ones serve the callers. */
TEST(connection_share, active_hosts_divide_most_of_the_limit_and_those_on_standby_get_one_each) {
    sharing_hosts hosts;
    for (const host_id& host : many_hosts(71)) {
        (hosts.active.size() < 10 ? hosts.active : hosts.standby).push_back(host);
    }
    std::size_t sum = 0;
    for (const host_id& host : hosts.active) {
        const std::size_t share = connection_share(67, hosts, host, target_id{"i-1"}, long_up);
        EXPECT_EQ(share, 4U);
        sum += share;
    }
    EXPECT_LE(sum, 67U * 6U / 10U);
    for (const host_id& host : hosts.standby) {
        EXPECT_EQ(connection_share(67, hosts, host, target_id{"i-1"}, long_up), 1U);
    }
}

TEST(connection_share, changes_for_few_hosts_when_one_leaves) {
    const auto before = many_hosts(71);
    const auto after = many_hosts(70);
    int changed = 0;
    for (const host_id& host : after) {
        changed += connection_share(67, {before, {}}, host, target_id{"i-1"}, long_up) !=
                           connection_share(67, {after, {}}, host, target_id{"i-1"}, long_up)
                       ? 1
                       : 0;
    }
    EXPECT_LE(changed, 1);
}

TEST(exchange_timing, tracks_median_and_p90_and_counts_a_pause_as_one_observation) {
    exchange_timing timing{80ms};
    random_source random{3};
    for (int exchange = 0; exchange < 2'000; ++exchange) {
        timing.observe(random.chance(0.03) ? duration{100ms} : random.between(6ms, 10ms));
    }
    EXPECT_GT(timing.median(), 7ms);
    EXPECT_LT(timing.median(), 9ms);
    EXPECT_GT(timing.p90(), 9ms);
    EXPECT_LT(timing.p90(), 20ms);
}

TEST(request_times, accounts_for_time_that_passed_before_this_attempt) {
    route taken;
    taken.timeout = 800ms;
    taken.objective = 80ms;
    const request_times first = compute_request_times(taken, start, 800ms);
    EXPECT_LT(first.objective_at, start + 80ms);
    EXPECT_GT(first.objective_at, start + 60ms);
    EXPECT_LT(first.answer_deadline, start + 800ms);
    const request_times second = compute_request_times(taken, start, 700ms);
    EXPECT_EQ(second.objective_at, first.objective_at - 100ms);
    const request_times silent = compute_request_times(taken, start, std::nullopt);
    EXPECT_EQ(silent.answer_deadline, first.answer_deadline);
}

TEST(request_times, leaves_a_hedge_time_to_answer) {
    EXPECT_EQ(hedge_delay(10ms, 60ms), 14ms);
    EXPECT_EQ(hedge_delay(50ms, 60ms), 30ms);
    EXPECT_GE(hedge_delay(1ms, 60ms), 3ms);
}

TEST(admission, accepts_everything_while_there_is_no_queue) {
    forward_admission_inputs inputs;
    inputs.until_objective = 5ms;
    inputs.until_answer_deadline = 500ms;
    inputs.median_time = 10ms;
    EXPECT_TRUE(admit(inputs).admitted);
}

TEST(admission, refuses_at_once_what_would_miss_its_objective_in_the_queue) {
    forward_admission_inputs inputs;
    inputs.until_objective = 60ms;
    inputs.until_answer_deadline = 700ms;
    inputs.median_time = 10ms;
    inputs.queue_time = 200ms;
    const admission_decision decision = admit(inputs);
    EXPECT_FALSE(decision.admitted);
    EXPECT_GE(decision.retry_after, 200ms);
}

TEST(admission, refuses_less_urgent_requests_at_a_shorter_queue) {
    forward_admission_inputs inputs;
    inputs.until_objective = 60ms;
    inputs.until_answer_deadline = 700ms;
    inputs.median_time = 10ms;
    inputs.queue_time = 40ms;
    inputs.priority = 0;
    EXPECT_TRUE(admit(inputs).admitted);
    inputs.priority = 2;
    EXPECT_FALSE(admit(inputs).admitted);
}

TEST(admission, refuses_when_the_event_loop_is_behind) {
    forward_admission_inputs inputs;
    inputs.until_objective = 60ms;
    inputs.until_answer_deadline = 700ms;
    inputs.median_time = 10ms;
    inputs.lag = 80ms;
    EXPECT_FALSE(admit(inputs).admitted);
}

TEST(admission, adds_jitter_to_retry_delays) {
    random_source random{5};
    std::set<std::int64_t> moments;
    for (int caller = 0; caller < 50; ++caller) {
        const duration delay = add_retry_jitter(100ms, random);
        EXPECT_GE(delay, 100ms);
        EXPECT_LE(delay, 150ms);
        moments.insert(delay / 1ms);
    }
    EXPECT_GT(moments.size(), 20U);
}

} // namespace
} // namespace tamarack
