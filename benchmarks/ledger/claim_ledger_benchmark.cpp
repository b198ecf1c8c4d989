#include <tamarack_ledger/tamarack_ledger.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace tamarack {
namespace {

constexpr wall_time start{1'000'000'000};
constexpr std::size_t reply_bytes = 200;

claim numbered_claim(std::uint64_t number) {
    return {service_id{"withdrawal-notices"},
            idempotency_key{"notice-" + std::to_string(number) + "-0123456789abcdef"},
            digest_of("body"),
            start,
            host_id{"entry-plovdiv-a-1"},
            incarnation_id{0x1234567890abcdefULL},
            number};
}

claim_result result_of(const claim& ran) {
    return {ran.service, ran.key, ran.attempt, run_result::answered, std::string(reply_bytes, 'r'), false};
}

claim_ledger ledger_with(std::uint64_t entries) {
    claim_ledger ledger;
    for (std::uint64_t number = 0; number < entries; ++number) {
        const claim wanted = numbered_claim(number);
        ledger.apply(wanted, start);
        ledger.apply(result_of(wanted), start);
    }
    return ledger;
}

/** Applies one claim and its result to a ledger that holds the given number of entries. */
void apply_claim_and_result(benchmark::State& state) {
    const auto entries = static_cast<std::uint64_t>(state.range(0));
    claim_ledger ledger = ledger_with(entries);
    std::uint64_t number = entries;
    for (auto step : state) {
        const claim wanted = numbered_claim(number++);
        benchmark::DoNotOptimize(ledger.apply(wanted, start));
        ledger.apply(result_of(wanted), start);
    }
}
BENCHMARK(apply_claim_and_result)->Arg(1'000)->Arg(100'000)->Unit(benchmark::kMicrosecond);

/** Measures the time of save(), and memory and snapshot bytes per ended entry with a reply of 200 bytes. */
void save_ledger(benchmark::State& state) {
    const auto entries = static_cast<std::uint64_t>(state.range(0));
    const std::size_t before = mallinfo2().uordblks;
    const claim_ledger ledger = ledger_with(entries);
    const std::size_t memory = mallinfo2().uordblks - before;
    std::size_t bytes = 0;
    for (auto step : state) {
        bytes = ledger.save().size();
    }
    state.counters["memory_per_entry"] = static_cast<double>(memory) / static_cast<double>(entries);
    state.counters["snapshot_per_entry"] = static_cast<double>(bytes) / static_cast<double>(entries);
}
BENCHMARK(save_ledger)->Arg(1'000)->Arg(20'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

void restore_ledger(benchmark::State& state) {
    const std::string text = ledger_with(static_cast<std::uint64_t>(state.range(0))).save();
    for (auto step : state) {
        claim_ledger ledger;
        benchmark::DoNotOptimize(ledger.restore(text));
    }
}
BENCHMARK(restore_ledger)->Arg(1'000)->Arg(20'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
