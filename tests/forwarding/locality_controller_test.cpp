#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** One service on one host, with an exchange on each side every 20 ms unless the test says otherwise. */
struct controlled_service {
    random_source random;
    locality_controller controller;
    time_point now = start;
    std::vector<time_point> raises;

    explicit controlled_service(std::uint64_t seed) : random(seed), controller(start, random) {}

    void run(duration length, const locality_sample& near_side, const locality_sample& far_side) {
        for (const time_point end = now + length; now < end; now += 20ms) {
            if (controller.review(now, random) == locality_step::raised) {
                raises.push_back(now);
            }
            const bool far = controller.is_next_far();
            controller.on_sent(far);
            controller.observe(now, far, far ? far_side : near_side);
        }
    }
};

const locality_sample quick{false, 0.3, 0.4};
const locality_sample queued{true, 1.5, 2.0};
const locality_sample without_room{true, 1.2, 2.5};
const locality_sample far_and_slow{false, 0.9, 0.4};

TEST(locality_controller, stays_at_zero_while_near_targets_answer_in_time) {
    controlled_service service{1};
    service.run(60s, quick, quick);
    EXPECT_EQ(service.controller.fraction(), 0.0);
    EXPECT_TRUE(service.raises.empty());
}

/** Fails if the fraction jumps instead of rising by steps, doesn't rise, or stays up after the shortage. */
TEST(locality_controller, rises_by_steps_and_falls_back) {
    controlled_service service{2};
    service.run(1s, queued, quick);
    ASSERT_GE(service.raises.size(), 2U);
    EXPECT_LE(service.raises.size(), 6U);
    EXPECT_GE(service.controller.fraction(), 0.1);
    EXPECT_LE(service.controller.fraction(), 0.1 * static_cast<double>(service.raises.size()) + 1e-9);
    service.run(9s, queued, quick);
    EXPECT_GE(service.controller.fraction(), 0.8);
    for (int round = 0; round < 120; ++round) {
        service.run(100ms, {false, 0.3, 0.5 * (1.0 - service.controller.fraction())}, quick);
    }
    EXPECT_EQ(service.controller.fraction(), 0.0);
}

/** Fails if a host goes on sending to a neighbour that is late or has queues. */
TEST(locality_controller, only_probes_far_targets_without_room) {
    controlled_service service{3};
    service.run(5s, queued, quick);
    ASSERT_GE(service.controller.fraction(), 0.5);
    service.run(5s, queued, without_room);
    EXPECT_LE(service.controller.fraction(), 0.1);
    const std::size_t raises = service.raises.size();
    service.run(60s, queued, without_room);
    EXPECT_LE(service.raises.size() - raises, 30U);
    EXPECT_LE(service.controller.fraction(), 0.1);
}

/** Fails if near exchanges that are late, but no later than the distance costs, leave the data centre. */
TEST(locality_controller, the_distance_counts) {
    controlled_service service{4};
    locality_sample slightly_late{true, 0.8, 1.0};
    service.run(20s, slightly_late, far_and_slow);
    EXPECT_LE(service.controller.fraction(), 0.05);
}

/** Fails if a shortage that stays the same makes the fraction swing. */
TEST(locality_controller, does_not_oscillate_under_a_constant_shortage) {
    controlled_service service{5};
    double least = 1.0;
    double most = 0.0;
    for (int round = 0; round < 600; ++round) {
        const double load = 1.4 * (1.0 - service.controller.fraction());
        const locality_sample near_side{load > 1.0, load > 1.0 ? 1.5 : 0.5, load};
        service.run(100ms, near_side, quick);
        if (round >= 100) {
            least = std::min(least, service.controller.fraction());
            most = std::max(most, service.controller.fraction());
        }
    }
    EXPECT_GE(least, 0.15);
    EXPECT_LE(most - least, 0.25);
}

/** Fails if all hosts of a data centre take their steps at the same moments. */
TEST(locality_controller, hosts_step_at_different_moments) {
    std::vector<time_point> raises;
    for (std::uint64_t host = 0; host < 60; ++host) {
        controlled_service service{100 + host};
        service.run(500ms, quick, quick);
        service.run(1s, queued, quick);
        ASSERT_FALSE(service.raises.empty());
        raises.push_back(service.raises.front());
    }
    for (const time_point& from : raises) {
        const auto together = std::count_if(raises.begin(), raises.end(), [&](const time_point& at) {
            return at >= from && at < from + 40ms;
        });
        EXPECT_LE(together, 24);
    }
}

/** Fails if the fraction of a surge outlives a time without requests. */
TEST(locality_controller, starts_anew_after_a_time_without_requests) {
    controlled_service service{6};
    service.run(5s, queued, quick);
    ASSERT_GT(service.controller.fraction(), 0.0);
    service.now += 15s;
    EXPECT_EQ(service.controller.review(service.now, service.random), locality_step::lowered);
    EXPECT_EQ(service.controller.fraction(), 0.0);
}

} // namespace
} // namespace tamarack
