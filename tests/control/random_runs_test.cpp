#include "control_world.h"
#include "random_faults.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace tamarack {
namespace {

std::string first_violation(control_world& world) {
    const auto& all = world.checks().violations();
    return all.empty() ? "" : all.front();
}

class random_runs : public testing::TestWithParam<std::uint64_t> {};

TEST_P(random_runs, keep_every_invariant) {
    world_options options;
    options.seed = GetParam();
    options.control_hosts = GetParam() % 2 == 0 ? 3 : 5;
    options.conditions = {0.02, 0.02, 0.01, 200us, 3ms, 4s};
    options.control.min_entries_per_snapshot = 60;
    control_world world{options};
    world.boot();
    random_faults faults{world};
    faults.run(60s);
    world.settle_and_check();
    faults.check_keys();
    EXPECT_EQ(first_violation(world), "") << "seed " << GetParam();
    EXPECT_GT(world.checks().accepted_count(), 5U);
    EXPECT_GT(world.checks().run_count(), 5U);
}

/** @return how many seeds to run: 20, or as many as TAMARACK_SEEDS says */
std::uint64_t seed_count() {
    const char* wanted = std::getenv("TAMARACK_SEEDS");
    return wanted == nullptr ? 20 : std::strtoull(wanted, nullptr, 10);
}

INSTANTIATE_TEST_SUITE_P(seeds, random_runs, testing::Range<std::uint64_t>(1, 1 + seed_count()));

} // namespace
} // namespace tamarack
