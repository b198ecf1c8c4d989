#include <tamarack_forwarding/tamarack_forwarding.h>

#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

namespace tamarack {
namespace {

std::vector<std::string> names_of(int teams) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(teams));
    for (int team = 0; team < teams; ++team) {
        names.push_back("team-" + std::to_string(team));
    }
    return names;
}

waiting_part next_part(const std::vector<std::string>& names, random_source& random) {
    waiting_part part;
    part.priority = static_cast<std::uint32_t>(random.below(3));
    part.objective_at = time_point{std::chrono::milliseconds{random.below(200)}};
    part.team = names[random.below(names.size())];
    part.work = 20'000.0;
    return part;
}

/** Adds a part to 1,000 waiting ones and sends the first one. */
void order_waiting_parts(benchmark::State& state) {
    const auto names = names_of(static_cast<int>(state.range(0)));
    random_source random{1};
    waiting_list list;
    for (int index = 0; index < 1'000; ++index) {
        waiting_part part = next_part(names, random);
        list.charge(part);
        list.insert(std::move(part));
    }
    for (auto _ : state) {
        waiting_part part = next_part(names, random);
        list.charge(part);
        list.insert(std::move(part));
        list.erase_sent(list.begin());
    }
}
BENCHMARK(order_waiting_parts)->Arg(79)->Arg(5'000);

/** Decides on a request under shortage, at 100 requests a second. */
void decide_who_gives_way(benchmark::State& state) {
    const auto names = names_of(static_cast<int>(state.range(0)));
    random_source random{1};
    team_shares shares;
    time_point now{1h};
    for (auto _ : state) {
        const std::string& team = names[random.below(names.size())];
        now += 10ms;
        shares.on_arrival(now, team, 20'000.0);
        if (!shares.gives_way(now, team)) {
            shares.on_admitted(team, 20'000.0);
        }
    }
}
BENCHMARK(decide_who_gives_way)->Arg(79)->Arg(5'000);

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
