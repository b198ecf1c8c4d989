#include "scenario.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <tuple>

namespace tamarack {
namespace {

using testing::IsEmpty;

class random_runs : public testing::TestWithParam<std::size_t> {};

TEST_P(random_runs, keep_all_invariants) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        EXPECT_THAT(random_run(seed, GetParam(), tight_options()), IsEmpty()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, random_runs, testing::Values(3U, 4U, 5U));

/** A step, two hosts and a pause in milliseconds, drawn and shrunk by RapidCheck. */
using drawn_event = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint8_t>;

scenario_event to_event(const drawn_event& drawn) {
    const auto [step, host, other, pause] = drawn;
    return {static_cast<scenario_step>(step % scenario_steps), host, other, std::chrono::milliseconds{pause}};
}

TEST(shrinking_runs, keep_all_invariants) {
    ::setenv("RC_PARAMS", "seed=1 max_success=100 max_size=200", 0);
    const bool held =
        rc::check("any sequence of steps keeps the invariants", [](const std::vector<drawn_event>& drawn) {
            fake_cluster cluster{1, 3, tight_options(), {}};
            cluster.bootstrap();
            cluster.run(3s);
            std::vector<scenario_event> events;
            std::ranges::transform(drawn, std::back_inserter(events), to_event);
            run_scenario(cluster, events);
            settle(cluster);
            RC_ASSERT(cluster.checker().violations() == std::vector<std::string>{});
        });
    EXPECT_TRUE(held);
}

} // namespace
} // namespace tamarack
