#include "soak.h"

#include <gtest/gtest.h>

namespace tamarack::soak {
namespace {

void expect_promises(std::uint64_t seed, std::chrono::seconds length) {
    soak_options options;
    options.seed = seed;
    options.length = length;
    const soak_result result = soak_run{options}.run();
    EXPECT_GT(result.answered, 0U);
    std::string events;
    for (const std::string& event : result.events) {
        events += event + "\n";
    }
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << "\n" << events;
}

TEST(soak, keeps_its_promises_under_a_short_series_of_faults) {
    // Seed 2 once found a host that refused every request after a pause: its lag was never forgotten.
    for (const std::uint64_t seed : {1U, 2U}) {
        expect_promises(seed, std::chrono::seconds{6});
    }
}

} // namespace
} // namespace tamarack::soak
