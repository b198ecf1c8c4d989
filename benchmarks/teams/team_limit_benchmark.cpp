#include <tamarack_teams/tamarack_teams.h>

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

std::vector<team_limit> limits_of(std::size_t count) {
    std::vector<team> teams(count);
    for (std::size_t number = 0; number < count; ++number) {
        teams[number].name = "team-" + std::to_string(number);
        teams[number].requests_per_second = 1e6;
        teams[number].burst = 1e6;
    }
    return number_teams(teams);
}

std::vector<host_id> hosts_of(std::int64_t count) {
    std::vector<host_id> hosts;
    for (std::int64_t number = 0; number < count; ++number) {
        hosts.emplace_back("host-" + std::to_string(number));
    }
    return hosts;
}

/** A report of 79 teams, at the server; arguments: hosts, teams. */
void server_report(benchmark::State& state) {
    const auto limits = limits_of(static_cast<std::size_t>(state.range(1)));
    const auto hosts = hosts_of(state.range(0));
    time_point now{1h};
    team_limit_server server{now - 1min, 1};
    server.set_hosts(hosts.size());
    server.set_limits(now, limits);
    std::size_t next = 0;
    for (auto _ : state) {
        team_use report{hosts[next++ % hosts.size()], next, true, {}};
        for (std::size_t item = 0; item < 79; ++item) {
            report.items.push_back({limits[(next * 79 + item) % limits.size()].team, 1, 0, 0, 0, false});
        }
        now += 1ms;
        benchmark::DoNotOptimize(server.on_use(now, report));
    }
}
BENCHMARK(server_report)->Args({78, 79})->Args({560, 79})->Args({78, 5'000})->Args({560, 5'000});

/** A request of an open team in contact, with its report; or without contact (third argument 0). */
void client_request(benchmark::State& state) {
    const auto limits = limits_of(static_cast<std::size_t>(state.range(1)));
    time_point now{1h};
    team_limit_client client{now, host_id{"host-0"}, random_source{1}};
    client.set_hosts(hosts_of(state.range(0)));
    client.set_limits(limits);
    std::uint64_t request = 0;
    for (auto _ : state) {
        now += 10us;
        benchmark::DoNotOptimize(
            client.request(now, limits[request % limits.size()].team, request, duration{0}));
        ++request;
        client.on_timer(now);
        if (const auto report = client.take_report(now); report && state.range(2) != 0) {
            client.on_grant(now, {1, report->sequence, 500ms, {}});
        }
    }
}
BENCHMARK(client_request)->Args({78, 79, 1})->Args({560, 5'000, 1})->Args({78, 79, 0})->Args({560, 5'000, 0});

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
