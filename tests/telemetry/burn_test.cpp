#include <tamarack_telemetry/tamarack_telemetry.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

TEST(burn_meter, computes_the_rate_of_each_window) {
    burn_meter meter{{0.99}, {1min, 10min}};
    for (int request = 0; request < 100; ++request) {
        meter.on_request(start, request >= 10);
    }
    for (int request = 0; request < 100; ++request) {
        meter.on_request(start + 5min, request >= 1);
    }
    const auto burns = meter.burn(start + 5min);
    ASSERT_EQ(burns.size(), 2U);
    EXPECT_EQ(burns[0].counts.total, 100U);
    EXPECT_NEAR(burns[0].burn_rate, 1.0, 1e-9);
    EXPECT_EQ(burns[1].counts.good, 189U);
    EXPECT_NEAR(burns[1].burn_rate, 5.5, 1e-9);
}

TEST(burn_meter, reports_an_incomplete_window) {
    burn_meter meter{{0.9}, {1min, 10min}};
    EXPECT_FALSE(meter.burn(start)[0].complete);
    meter.on_request(start, true);
    const auto burns = meter.burn(start + 1min);
    EXPECT_TRUE(burns[0].complete);
    EXPECT_FALSE(burns[1].complete);
}

TEST(burn_meter, discards_requests_older_than_the_window) {
    burn_meter meter{{0.9}, {1min}};
    meter.on_request(start, false);
    EXPECT_EQ(meter.burn(start + 1min + 9s)[0].counts.total, 1U);
    EXPECT_EQ(meter.burn(start + 1min + 10s)[0].counts.total, 0U);
    meter.on_request(start + 2min, true);
    EXPECT_EQ(meter.burn(start + 2min)[0].burn_rate, 0.0);
}

TEST(burn_meter_death, refuses_time_that_goes_backwards) {
    burn_meter meter{{0.9}, {1min}};
    meter.on_request(start + 10s, true);
    EXPECT_DEATH(meter.on_request(start, true), "order of time");
}

} // namespace
} // namespace tamarack
