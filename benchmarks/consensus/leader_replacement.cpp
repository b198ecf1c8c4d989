#include "figures.h"

#include "tests/consensus/fake_cluster.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace tamarack {

namespace {

constexpr std::uint64_t seeds = 1'000;

/** @return the time from the leader's kill until the next leader acknowledges an entry */
duration replacement_time(std::uint64_t seed, std::size_t size, const fault_conditions& conditions) {
    fake_cluster cluster{seed, size, {}, conditions};
    cluster.bootstrap();
    cluster.run(3s + cluster.random().between(0ms, 1s));
    const log_index before = cluster.checker().acknowledged();
    cluster.crash(*cluster.leader());
    const time_point killed = cluster.now();
    cluster.run_until([&] { return cluster.leader().has_value(); }, 60s);
    cluster.propose(*cluster.leader(), "content");
    cluster.run_until([&] { return cluster.checker().acknowledged() > before; }, 60s);
    return cluster.now() - killed;
}

void measure(const char* name, std::size_t size, const fault_conditions& conditions) {
    std::vector<duration> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        times.push_back(replacement_time(seed, size, conditions));
    }
    std::ranges::sort(times);
    const auto milliseconds = [&](double quantile) {
        const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
        return static_cast<double>(times[rank].count()) / 1'000;
    };
    std::printf("%-22s hosts %zu  least %6.0f ms  median %6.0f  99 in 100 %6.0f  most %6.0f\n", name, size,
                milliseconds(0), milliseconds(0.5), milliseconds(0.99), milliseconds(1));
}

} // namespace

void measure_leader_replacement() {
    const fault_conditions calm{};
    const fault_conditions lossy{0.05, 0.01, 500us, 20ms, 1ms, 20ms, 0.001};
    for (const std::size_t size : {3U, 5U, 7U}) {
        measure("calm", size, calm);
        measure("5% loss, slow disks", size, lossy);
    }
}

} // namespace tamarack
