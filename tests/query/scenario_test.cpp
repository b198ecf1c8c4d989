#include "chaos.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace tamarack {
namespace {

world_options make_steady_world(std::uint64_t seed) {
    world_options options = deployed_service("recall-finder");
    options.load = 0.3;
    options.length = 4s;
    options.seed = seed;
    return options;
}

/**
 * Adds a second map with one shard less and moves each replica from the first to the second at its own time.
 */
void repartition(model_world& world, service_definition service) {
    shard_map second;
    second.name = "second";
    for (const auto& shard : service.maps.front().shards) {
        second.shards.push_back(shard);
    }
    second.shards.pop_back();
    service.maps.push_back(second);
    world.events().at(time_point{1s}, [&world, service] { world.change_service(service); });
    for (const auto& target : world.targets()) {
        const duration moved_at = 1s + world.random().between(0ms, 1s);
        world.events().at(time_point{moved_at}, [&world, &target] {
            target->versions.push_back({index_version{"v2"}, "second"});
            world.publish();
        });
        world.events().at(time_point{moved_at + 1500ms}, [&world, &target] {
            target->versions.erase(target->versions.begin());
            world.publish();
        });
    }
}

TEST(query_scenario, repartitions_in_mid_query_without_merging_versions) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const world_options options = make_steady_world(seed);
        model_world world(options);
        repartition(world, options.service);
        const world_report report = world.run();
        EXPECT_EQ(report.wrong_parts, 0U) << seed;
        EXPECT_GT(report.complete_share(), 0.97) << seed;
    }
}

world_report run_with_silence(const world_options& options) {
    model_world world(options);
    for (duration moment = 1500ms; moment < options.length; moment += 100ms) {
        world.events().at(time_point{moment}, [&world] {
            const std::size_t drawn = world.random().below(world.targets().size());
            world.silence_connections(*world.targets()[drawn], 0.7);
        });
    }
    return world.run();
}

TEST(query_scenario, loses_no_more_than_a_hedge_delay_to_silent_connections) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        world_options options = make_steady_world(seed);
        options.connections = 120;
        options.load = 0.5;
        const world_report report = run_with_silence(options);
        EXPECT_GT(report.complete_share(), 0.99) << seed;
        EXPECT_LE(report.max_connections, options.connections) << seed;
        options.engine.protections.suspect_silent_connections = false;
        const world_report unprotected = run_with_silence(options);
        EXPECT_LT(unprotected.complete_share(), report.complete_share()) << seed;
    }
}

TEST(query_scenario, is_no_worse_off_with_lying_load_reports) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const world_options options = make_steady_world(seed);
        model_world silent(options);
        silent.report_load([](const model_target& /*target*/) { return 0U; });
        const world_report without = silent.run();
        model_world lying(options);
        lying.report_load(
            [](const model_target& target) { return target.profile().ordinal == 0 ? 1'000U : 0U; });
        const world_report with = lying.run();
        EXPECT_EQ(world_report::percentile(with.answer_latencies, 0.99),
                  world_report::percentile(without.answer_latencies, 0.99))
            << seed;
    }
}

TEST(query_scenario, keeps_the_budget_and_recovers_when_all_targets_shed_or_slow_down_at_once) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        world_options options = make_steady_world(seed);
        options.length = 6s;
        model_world world(options);
        world.events().at(time_point{2s}, [&world] {
            for (const auto& target : world.targets()) {
                target->shedding = target->profile().ordinal != 0;
                target->slowness = 5.0;
            }
        });
        world.events().at(time_point{3s}, [&world] {
            for (const auto& target : world.targets()) {
                target->shedding = false;
                target->slowness = 1.0;
            }
        });
        std::uint64_t answered_late = 0;
        world.events().at(time_point{5s}, [&] { answered_late = world.answered_so_far(); });
        const world_report report = world.run();
        const double burst = 10.0 * static_cast<double>(options.hosts);
        EXPECT_LE(static_cast<double>(report.extra_attempts),
                  0.05 * static_cast<double>(report.first_attempts) + burst);
        const double last_second = static_cast<double>(report.ended[0] - answered_late);
        EXPECT_GT(last_second, 0.9 * options.load * capacity_per_second(options)) << seed;
    }
}

/** Sends a non-idempotent request after all connections have silently failed. */
world_report run_once_on_silent_connections(bool probed) {
    world_options options = make_steady_world(1);
    options.load = 1e-6;
    options.engine.protections.probe_before_sending_at_most_once = probed;
    model_world world(options);
    world.events().at(time_point{1500ms}, [&world] {
        for (const auto& target : world.targets()) {
            world.silence_connections(*target, 1.0);
        }
    });
    world.events().at(time_point{2s}, [&world] { world.offer(0, "notice", {idempotency_key{"k"}, {}}); });
    return world.run();
}

TEST(query_scenario, sends_a_non_idempotent_request_only_on_a_probed_connection) {
    EXPECT_EQ(run_once_on_silent_connections(true).ended[3], 0U);
    EXPECT_GT(run_once_on_silent_connections(false).ended[3], 0U)
        << "without a probe it is sent on a silent connection and ends as unknown";
}

} // namespace
} // namespace tamarack
