#include <tamarack_tickets/tamarack_tickets.h>

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

constexpr std::uint32_t services = 50;
constexpr std::uint32_t shards = 24;

/** A ticket that defines the whole configuration: 50 services with 24 shards each. */
ticket whole_configuration(std::uint64_t number) {
    ticket result;
    result.number = ticket_number{number};
    for (std::uint32_t index = 0; index < services; ++index) {
        service_definition service;
        service.id = service_id{"service-" + std::to_string(index)};
        service.maps = {{"map-1", {}}};
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            service.maps[0].shards.emplace_back("shard-" + std::to_string(shard));
        }
        result.limits.push_back({service.id, shard_id{}, 5, 40});
        result.services.push_back(std::move(service));
    }
    return result;
}

/** A ticket that changes the limits of one service, which is the typical change. */
ticket small_change(std::uint64_t number) {
    ticket result;
    result.number = ticket_number{number};
    result.author = "operator";
    const auto slots = static_cast<std::uint32_t>(1 + number % 9);
    result.limits = {{service_id{"service-" + std::to_string(number % services)}, shard_id{}, slots, 40}};
    return result;
}

ticket_register register_after(std::uint64_t tickets) {
    ticket_register result;
    result.apply(whole_configuration(1), wall_time{1});
    for (std::uint64_t number = 2; number <= tickets; ++number) {
        result.apply(small_change(number), wall_time{1});
    }
    return result;
}

void apply_small_ticket(benchmark::State& state) {
    ticket_register tickets = register_after(1);
    std::uint64_t number = 2;
    for (auto step : state) {
        benchmark::DoNotOptimize(tickets.apply(small_change(number++), wall_time{1}));
    }
}
BENCHMARK(apply_small_ticket)->Unit(benchmark::kMicrosecond);

void save_register(benchmark::State& state) {
    const ticket_register tickets = register_after(static_cast<std::uint64_t>(state.range(0)));
    std::size_t bytes = 0;
    for (auto step : state) {
        const std::string text = tickets.save();
        bytes = text.size();
        benchmark::DoNotOptimize(text.data());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(save_register)->Arg(1'000)->Arg(20'000)->Unit(benchmark::kMillisecond);

void restore_register(benchmark::State& state) {
    const std::string text = register_after(static_cast<std::uint64_t>(state.range(0))).save();
    for (auto step : state) {
        ticket_register tickets;
        benchmark::DoNotOptimize(tickets.restore(text));
    }
}
BENCHMARK(restore_register)->Arg(1'000)->Arg(20'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
