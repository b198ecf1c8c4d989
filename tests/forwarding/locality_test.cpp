#include "forwarding_world.h"
#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace tamarack {
namespace {

constexpr std::size_t shards = 4;
constexpr std::size_t hosts = 6;

forwarding_options adaptive() {
    forwarding_options options;
    options.locality = locality_mode::adaptive;
    return options;
}

/** Three data centres with two hosts each and a replica of each shard, which serves about 185 requests/s. */
class three_data_centers : public forwarding_world {
public:
    explicit three_data_centers(std::uint64_t seed, const forwarding_options& options = adaptive(),
                                const std::vector<std::string>& places = {"near", "near", "b", "b", "c", "c"})
        : forwarding_world(seed, hosts, options) {
        for (std::size_t host = 0; host < hosts; ++host) {
            place_host(host, places[host]);
        }
        set_distance(500us);
        world_target behaviour;
        behaviour.work = 20ms;
        behaviour.slots = 4;
        behaviour.connections = 71;
        std::vector<std::string> services;
        for (std::size_t shard = 0; shard < shards; ++shard) {
            services.push_back("s" + std::to_string(shard));
            add_service(services.back(), 3, behaviour);
        }
        for_each_target([](const std::string& id, world_target& target) {
            const std::string place = id.ends_with("-0") ? "near" : id.ends_with("-1") ? "b" : "c";
            target.info.data_center = data_center_id{place};
        });
        for (const std::uint32_t priority : {0U, 1U}) {
            route& all = add_route(priority == 0 ? "all" : "own", services);
            all.timeout = 800ms;
            all.objective = 200ms;
            all.least_coverage = 0.95;
            all.priority = priority;
        }
    }

    /** Leaves out the exchanges sent so far: the first ones open connections. */
    void count_from(duration when) {
        at(when, [this] {
            for (std::size_t host = 0; host < hosts; ++host) {
                m_before[host] = statistics(host);
            }
        });
    }

    /** @return share of the counted first exchanges of some hosts that left their data centre */
    double far_share(std::size_t from_host, std::size_t to_host) const {
        double far = 0;
        double all = 0;
        for (std::size_t host = from_host; host <= to_host; ++host) {
            const auto now_far = statistics(host).first_far - m_before[host].first_far;
            const auto now_near = statistics(host).first_near - m_before[host].first_near;
            far += static_cast<double>(now_far);
            all += static_cast<double>(now_far + now_near);
        }
        return all == 0 ? 0 : far / all;
    }

    /** @return maximum of the fractions of a data centre's two hosts that changed in a period */
    double max_fraction(std::size_t first_host, duration from, duration until) const {
        double most = 0;
        for (const world_locality_change& item : locality_changes()) {
            const bool counts = (item.host == first_host || item.host == first_host + 1) && item.at >= from &&
                                item.at < until;
            most = counts ? std::max(most, item.change.fraction) : most;
        }
        return most;
    }

    void load_all(double per_second, duration from, duration until) {
        for (std::size_t host = 0; host < hosts; ++host) {
            load_at(host, "all", per_second, from, until);
        }
    }

private:
    std::array<forwarding_statistics, hosts> m_before{};
};

void expect_guarantees(const forwarding_world& world) {
    EXPECT_TRUE(world.violations().empty()) << world.violations().front();
    EXPECT_EQ(world.unanswered(), 0U);
}

/** Fails if calm traffic leaves the data centre, which costs money. */
TEST(locality, calm_traffic_stays_in_the_data_center) {
    three_data_centers world{1};
    world.publish();
    world.load_all(25.0, 1s, 11s);
    world.count_from(3s);
    world.run_until(15s);
    expect_guarantees(world);
    EXPECT_LE(world.far_share(0, 5), 0.01);
    EXPECT_GE(world.good_share(2s, 11s), 0.99);
    EXPECT_TRUE(world.locality_changes().empty());
}

/** Fails if the regular pauses of a single near replica count as a lack of near capacity. */
TEST(locality, pauses_of_the_near_replica_are_covered_without_raising_the_fraction) {
    three_data_centers world{2};
    world.for_each_target([](const std::string&, world_target& target) {
        target.pause = 200ms;
        target.pause_every = 4500ms;
    });
    world.publish();
    world.load_all(25.0, 1s, 21s);
    world.run_until(25s);
    expect_guarantees(world);
    EXPECT_LE(world.far_share(0, 5), 0.08);
    EXPECT_GE(world.good_share(2s, 21s), 0.97);
    EXPECT_LE(world.max_fraction(0, 0s, 25s), 0.1);
}

/** Fails if a surge in one data centre is served near only although the neighbours have room, or if traffic
 * keeps leaving after it. */
TEST(locality, a_surge_in_one_data_center_uses_the_neighbours_until_it_ends) {
    three_data_centers world{3};
    world.publish();
    world.load_all(25.0, 1s, 31s);
    world.load_at(0, "all", 115.0, 3s, 17s);
    world.load_at(1, "all", 115.0, 3s, 17s);
    world.run_until(35s);
    expect_guarantees(world);
    EXPECT_GE(world.max_fraction(0, 3s, 17s), 0.2);
    EXPECT_GE(world.good_share(9s, 17s), 0.97);
    EXPECT_LE(world.max_fraction(0, 25s, 35s), 0.05);
    EXPECT_EQ(world.far_fraction(0, "s0"), 0.0);
    EXPECT_EQ(world.far_fraction(1, "s0"), 0.0);
    EXPECT_GE(world.good_share(24s, 31s), 0.99);
}

/** Fails if the surge of one data centre is sent to neighbours that are slow or busy themselves. */
TEST(locality, neighbours_without_room_are_not_flooded) {
    three_data_centers world{4};
    world.publish();
    for (const std::size_t host : {0U, 1U}) {
        world.load_at(host, "all", 150.0, 3s, 13s);
    }
    for (const std::size_t host : {2U, 3U, 4U, 5U}) {
        world.load_at(host, "own", 80.0, 1s, 13s);
    }
    world.run_until(16s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(4s, 13s, 1), 0.9);
    EXPECT_LE(world.max_fraction(0, 5s, 13s), 0.3);
}

/** Fails if the surge of one data centre is sent to neighbours that answer late or fail. */
TEST(locality, slow_or_failing_neighbours_get_only_probes) {
    for (const bool slow : {true, false}) {
        three_data_centers world{9};
        world.for_each_target([slow](const std::string& id, world_target& target) {
            target.slow = slow && !id.ends_with("-0") ? 6.0 : 1.0;
            target.failure_share = !slow && !id.ends_with("-0") ? 0.5 : 0.0;
        });
        world.publish();
        world.load_all(10.0, 1s, 13s);
        for (const std::size_t host : {0U, 1U}) {
            world.load_at(host, "all", 90.0, 3s, 13s);
        }
        world.run_until(16s);
        expect_guarantees(world);
        EXPECT_LE(world.max_fraction(0, 3s, 13s), 0.2);
    }
}

/** Fails if two data centres with alternating surges pass their load to and fro. */
TEST(locality, data_centers_with_alternating_surges_do_not_oscillate) {
    three_data_centers world{5};
    world.publish();
    world.load_all(25.0, 1s, 31s);
    for (duration begin = 2s; begin < 30s; begin += 6s) {
        for (const std::size_t host : {0U, 1U}) {
            world.load_at(host, "all", 100.0, begin, begin + 3s);
            world.load_at(host + 2, "all", 100.0, begin + 3s, begin + 6s);
        }
    }
    world.run_until(35s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(2s, 31s), 0.95);
    EXPECT_LE(world.max_fraction(4, 0s, 31s), 0.1);
    constexpr std::size_t fractions_and_surges = 4 * shards * 5;
    EXPECT_LE(world.locality_changes().size(), 6 * fractions_and_surges);
}

/** Fails if a service without targets in the data centre isn't served, or only by steps. */
TEST(locality, a_service_without_near_targets_uses_far_ones) {
    three_data_centers world{6, adaptive(), {"d", "d", "b", "b", "c", "c"}};
    world.publish();
    world.load_all(25.0, 1s, 6s);
    world.run_until(10s);
    expect_guarantees(world);
    EXPECT_EQ(world.far_share(0, 1), 1.0);
    EXPECT_GE(world.good_share(1s, 6s), 0.99);
    EXPECT_TRUE(world.locality_changes().empty());
}

/** Fails if a near replica that doesn't answer any more costs more than a few objectives. */
TEST(locality, an_unresponsive_near_replica_is_left_at_once) {
    three_data_centers world{7};
    world.publish();
    world.load_all(25.0, 1s, 11s);
    world.at(4s, [&] { world.target("s0-0").unresponsive = true; });
    world.run_until(15s);
    expect_guarantees(world);
    EXPECT_GE(world.good_share(2s, 11s), 0.95);
}

/** Fails if first exchanges wait at a paused near target that holds another one for much longer than usual.
 */
TEST(locality, while_a_near_target_is_stalled_exchanges_leave) {
    forwarding_options options = adaptive();
    options.data_center = data_center_id{"near"};
    options.mechanisms.switch_off(forwarding_mechanism::hedges);
    options.warm_connections = 3;
    forwarding_engine engine{options, random_source{1}};
    const auto view = single_route_view(2);
    view->targets[0].data_center = data_center_id{"near"};
    view->targets[1].data_center = data_center_id{"b"};
    for (forwarding_target& target : view->targets) {
        target.connections = 4;
        target.slots = 4;
    }
    time_point now{1h};
    const auto connect_all = [&](const forwarding_actions& actions) {
        for (const forwarding_action& action : actions) {
            if (const auto* open = std::get_if<open_target_connection>(&action)) {
                engine.on_connected(now, open->connection);
            }
        }
    };
    for (int connection = 0; connection < 3; ++connection) {
        connect_all(engine.on_view(now, view));
    }
    const auto target_of = [&](forward_number number) {
        for (const forwarding_action& action : engine.on_request(now, single_route_request(number))) {
            if (const auto* sent = std::get_if<send_target_exchange>(&action)) {
                return sent->exchange.target.value();
            }
        }
        return std::string{};
    };
    EXPECT_EQ(target_of(1), "i-1");
    EXPECT_EQ(target_of(2), "i-1");
    now += 300ms;
    EXPECT_EQ(target_of(3), "i-2");
}

/** Fails if the mechanism can't be switched off for measurements, or acts without the setting. */
TEST(locality, fixed_and_switched_off_never_change_the_fraction) {
    forwarding_options off = adaptive();
    off.mechanisms.switch_off(forwarding_mechanism::locality);
    for (const forwarding_options& options : {forwarding_options{}, off}) {
        three_data_centers world{8, options};
        world.publish();
        world.load_all(100.0, 1s, 5s);
        world.run_until(8s);
        EXPECT_TRUE(world.locality_changes().empty());
    }
}

} // namespace
} // namespace tamarack
