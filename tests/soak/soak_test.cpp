#include "soak.h"

#include <gtest/gtest.h>

namespace tamarack::soak {
namespace {

void expect_promises(const soak_options& options) {
    const soak_result result = soak_run{options}.run();
    EXPECT_GT(result.answered, 0U);
    std::string events;
    for (const std::string& event : result.events) {
        events += event + "\n";
    }
    EXPECT_TRUE(result.violations.empty()) << "seed " << options.seed << "\n" << events;
}

TEST(soak, keeps_its_promises_under_a_short_series_of_faults) {
    // Seed 2 once found a host that refused every request after a pause: its lag was never forgotten.
    for (const std::uint64_t seed : {1U, 2U}) {
        soak_options options;
        options.seed = seed;
        options.length = std::chrono::seconds{6};
        expect_promises(options);
    }
}

TEST(soak, keeps_repeats_within_their_budget_while_configurations_and_restarts_come_in_series) {
    // Seed 9106 found budgets that began anew with each process and with each return of a service.
    soak_options options;
    options.seed = 9'106;
    options.length = std::chrono::seconds{14};
    options.entry_hosts = 6;
    options.pause_of_callers = std::chrono::milliseconds{60};
    expect_promises(options);
}

} // namespace
} // namespace tamarack::soak
