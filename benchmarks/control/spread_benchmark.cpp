#include "control/control_world.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace tamarack {
namespace {

constexpr std::uint64_t tickets = 20;

double median_ms(std::vector<duration> values) {
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return static_cast<double>(values[values.size() / 2].count()) / 1000;
}

double highest_ms(const std::vector<duration>& values) {
    const auto highest = std::max_element(values.begin(), values.end());
    return highest == values.end() ? -1 : static_cast<double>(highest->count()) / 1000;
}

world_options size_of(const benchmark::State& state) {
    world_options options;
    options.control_hosts = static_cast<std::size_t>(state.range(0));
    options.entry_hosts = static_cast<std::size_t>(state.range(1));
    return options;
}

void report(benchmark::State& state, control_world& world) {
    state.counters["spread_median_ms"] = median_ms(world.checks().spreads());
    state.counters["spread_highest_ms"] = highest_ms(world.checks().spreads());
    state.counters["report_median_ms"] = median_ms(world.checks().reports());
    state.counters["report_highest_ms"] = highest_ms(world.checks().reports());
    state.counters["violations"] = static_cast<double>(world.checks().violations().size());
}

/**
 * Virtual time from a ticket's acceptance until every serving host applies it, and until the leader reports
 * it in force.
 */
void spread_undisturbed(benchmark::State& state) {
    for (auto step : state) {
        control_world world{size_of(state)};
        world.boot();
        for (std::uint64_t number = 1; number <= tickets; ++number) {
            world.submit(world_ticket(number, 5), world.leader());
            world.run_until([&] { return world.checks().reported_in_force().value >= number; }, 10s);
            world.run(1s);
        }
        report(state, world);
    }
}

/** The same when the leader is killed right after it accepted the ticket, and restarted 5 s later. */
void spread_under_leader_kill(benchmark::State& state) {
    for (auto step : state) {
        control_world world{size_of(state)};
        world.boot();
        for (std::uint64_t number = 1; number <= tickets; ++number) {
            const std::size_t leader = world.leader();
            world.submit(world_ticket(number, 5), leader);
            world.run_until([&] { return world.checks().latest_accepted().value >= number; }, 10s);
            world.control(leader).crash();
            world.run_until([&] { return world.checks().reported_in_force().value >= number; }, 10s);
            world.control(leader).start();
            world.run(5s);
        }
        report(state, world);
    }
}

BENCHMARK(spread_undisturbed)->ArgsProduct({{3, 7}, {10, 100}})->Iterations(1);
BENCHMARK(spread_under_leader_kill)->ArgsProduct({{3, 7}, {10, 100}})->Iterations(1);

} // namespace
} // namespace tamarack
