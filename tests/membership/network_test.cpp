#include "network_scenarios.h"

#include <gtest/gtest.h>

#include <map>

namespace tamarack::testing {
namespace {

constexpr std::uint64_t last_seed = 5;

/** Runs a check on a settled network for several seeds. */
void for_each_seed(const network_shape& shape, const std::function<void(virtual_network&)>& check) {
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const auto network = make_network(seed, shape);
        ASSERT_TRUE(network->views_agree());
        check(*network);
    }
}

/** Partitions the hosts for which `inside` holds from all others, in both directions. */
void isolate(virtual_network& network, const std::function<bool(std::size_t)>& inside) {
    network.partition = [inside](std::size_t from, std::size_t to) { return inside(from) != inside(to); };
}

/** Runs the network and checks that no host drops any of the targets. */
void run_without_drops(virtual_network& network, duration length, std::size_t targets) {
    for (duration passed{0}; passed < length; passed += 100ms) {
        network.run_for(100ms);
        for (std::size_t target = 0; target < targets; ++target) {
            ASSERT_EQ(network.count_using(target), network.up_hosts())
                << "target " << target << " after " << passed.count() << " us";
        }
    }
}

TEST(network, hosts_and_targets_become_known_everywhere) {
    for_each_seed({50, 7, 60}, [](virtual_network& network) { EXPECT_EQ(network.up_hosts(), 50U); });
}

/** Load pattern: all hosts start at once after a power failure, while targets already announce themselves. */
TEST(network, hosts_that_start_together_learn_of_targets_announced_before_they_met) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        virtual_network network{seed, {}};
        network.detector.max_direct_push_hosts = 128;
        network.detector.probe_interval = 300ms;
        network.registry.only_known_services = false;
        for (std::size_t host = 0; host < 9; ++host) {
            network.add_host(data_center_name(host % 3));
        }
        for (std::size_t host = 0; host < 9; ++host) {
            network.start_host(host);
        }
        for (std::size_t target = 0; target < 30; ++target) {
            network.add_target(data_center_name(target % 3), "finder", "s" + std::to_string(target), 0);
        }
        network.run_for(1500ms);
        for (std::size_t target = 0; target < 30; ++target) {
            EXPECT_EQ(network.count_using(target), 9U) << target;
        }
    }
}

TEST(network, a_draining_target_is_known_everywhere_within_three_seconds) {
    for_each_seed({50, 7, 20}, [](virtual_network& network) {
        drain_target(network, 3, 3s);
        EXPECT_EQ(network.count_using(3), 0U);
        EXPECT_EQ(network.count_using(4), 50U);
    });
}

TEST(network, a_silent_target_is_known_everywhere_within_three_seconds) {
    for_each_seed({50, 7, 20}, [](virtual_network& network) {
        network.silence_target(3);
        network.run_for(3s);
        EXPECT_EQ(network.count_using(3), 0U);
    });
}

TEST(network, a_restarted_target_is_never_confused_with_its_old_incarnation) {
    for_each_seed({20, 4, 10}, [](virtual_network& network) {
        for (int restart = 0; restart < 3; ++restart) {
            const announcement old_self = network.targets()[2].value;
            network.restart_target(2);
            network.run_for(2s);
            EXPECT_EQ(network.count_using(2), 20U);
            announcement late = old_self;
            late.sequence += 1'000;
            for (virtual_host& host : network.hosts()) {
                EXPECT_FALSE(
                    succeeded(host.registry->on_announcement(network.now(), late, network.in_force)));
            }
        }
    });
}

TEST(network, the_loss_of_a_registrar_drops_none_of_its_targets) {
    for_each_seed({20, 4, 40}, [](virtual_network& network) {
        network.kill_host(7);
        run_without_drops(network, 12s, 40);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(network, an_isolated_host_drops_no_healthy_target_and_keeps_no_dead_one) {
    for_each_seed({20, 4, 20}, [](virtual_network& network) {
        isolate(network, [](std::size_t host) { return host == 5; });
        run_without_drops(network, 20s, 20);
        EXPECT_TRUE(network.hosts()[5].detector->isolated());
        EXPECT_EQ(network.count_seeing(5, host_state::dead), 19U);
        network.silence_target(1);
        network.run_for(70s);
        network.partition = nullptr;
        network.run_for(6s);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(network, a_host_that_loses_contact_with_hosts_and_targets_drops_no_target) {
    for_each_seed({20, 4, 20}, [](virtual_network& network) {
        isolate(network, [](std::size_t host) { return host == 5; });
        network.target_partition = [](std::size_t /*target*/, std::size_t host) { return host == 5; };
        run_without_drops(network, 10s, 20);
        network.partition = nullptr;
        network.target_partition = nullptr;
        run_without_drops(network, 6s, 20);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(network, views_agree_within_six_seconds_after_a_partition_of_a_data_center_or_of_regions) {
    for (const std::size_t part : {1U, 2U}) {
        for_each_seed({28, 4, 30}, [&](virtual_network& network) {
            isolate(network, [&](std::size_t host) { return host % 4 < part; });
            network.run_for(40s);
            network.partition = nullptr;
            network.run_for(6s);
            EXPECT_TRUE(network.views_agree()) << part << " of 4 data centres";
            run_without_drops(network, 10s, 30);
            EXPECT_TRUE(network.views_agree()) << part << " of 4 data centres, later";
        });
    }
}

TEST(network, views_agree_after_a_partition_longer_than_dead_hosts_are_remembered) {
    for_each_seed({12, 4, 10}, [](virtual_network& network) {
        isolate(network, [](std::size_t host) { return host % 2 == 0; });
        network.run_for(15min);
        network.partition = nullptr;
        network.run_for(6s);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(network, views_agree_after_a_one_way_partition) {
    for_each_seed({20, 4, 20}, [](virtual_network& network) {
        network.partition = [](std::size_t from, std::size_t to) { return from == 4 && to != 4; };
        network.run_for(20s);
        network.partition = [](std::size_t from, std::size_t to) { return to == 4 && from != 4; };
        network.run_for(20s);
        network.partition = nullptr;
        network.run_for(6s);
        EXPECT_TRUE(network.views_agree());
        run_without_drops(network, 10s, 20);
    });
}

TEST(network, a_partition_between_two_hosts_kills_neither) {
    for_each_seed({20, 4, 5}, [](virtual_network& network) {
        std::size_t deaths = 0;
        network.on_host_changed = [&](std::size_t, const host_record& record) {
            deaths += record.state == host_state::dead ? 1 : 0;
        };
        network.partition = [](std::size_t from, std::size_t to) {
            return from + to == 9 && from * to == 20;
        };
        network.run_for(2min);
        EXPECT_EQ(deaths, 0U);
    });
}

TEST(network, views_agree_after_flapping_and_then_stay) {
    for_each_seed({20, 4, 20}, [](virtual_network& network) {
        for (int flap = 0; flap < 10; ++flap) {
            isolate(network, [](std::size_t host) { return host == 6 || host == 7; });
            network.run_for(1500ms);
            network.partition = nullptr;
            network.run_for(700ms);
        }
        network.run_for(6s);
        EXPECT_TRUE(network.views_agree());
        std::size_t changes = 0;
        network.on_host_changed = [&](std::size_t, const host_record&) { ++changes; };
        network.run_for(30s);
        EXPECT_EQ(changes, 0U);
    });
}

TEST(network, a_rolling_restart_of_all_hosts_drops_no_target) {
    for_each_seed({10, 4, 20}, [](virtual_network& network) {
        for (std::size_t host = 0; host < 10; ++host) {
            network.drain_host(host, true);
            run_without_drops(network, 2s, 20);
            network.leave_host(host);
            run_without_drops(network, 2s, 20);
            network.start_host(host);
            network.run_for(3s);
        }
        network.run_for(3s);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(network, a_fast_restart_without_a_leave_message_kills_no_target) {
    for_each_seed({10, 4, 20}, [](virtual_network& network) {
        for (std::size_t host = 0; host < 10; ++host) {
            network.kill_host(host);
            network.run_for(300ms);
            network.start_host(host);
            network.run_for(5s);
            EXPECT_TRUE(network.views_agree()) << "host " << host;
        }
    });
}

std::size_t deaths_under_loss(std::uint64_t seed, bool suspect_first) {
    detector_options options;
    options.protections.suspect_first = suspect_first;
    const auto network = make_network(seed, {50, 7, 10}, {}, {}, options);
    std::size_t deaths = 0;
    network->on_host_changed = [&](std::size_t, const host_record& record) {
        deaths += record.state == host_state::dead ? 1 : 0;
    };
    network->conditions.loss = 0.2;
    network->run_for(60s);
    return deaths;
}

TEST(network, loss_of_a_fifth_of_the_messages_kills_nobody_thanks_to_suspicion) {
    std::size_t protected_deaths = 0;
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
        protected_deaths += deaths_under_loss(seed, true);
    }
    RecordProperty("false_deaths_in_250_host_minutes", static_cast<int>(protected_deaths));
    EXPECT_EQ(protected_deaths, 0U);
    EXPECT_GT(deaths_under_loss(1, false), 0U);
}

TEST(network, without_probes_of_dead_hosts_a_partition_never_heals) {
    detector_options options;
    options.protections.probe_dead = false;
    const auto network = make_network(1, {12, 4, 0}, {}, {}, options);
    isolate(*network, [](std::size_t host) { return host >= 6; });
    network->run_for(40s);
    network->partition = nullptr;
    network->run_for(6s);
    EXPECT_FALSE(network->views_agree());
}

TEST(network, without_the_pause_an_isolated_host_declares_the_others_dead) {
    for (const bool hold : {true, false}) {
        detector_options options;
        options.protections.pause_while_isolated = hold;
        const auto network = make_network(1, {20, 4, 0}, {}, {}, options);
        isolate(*network, [](std::size_t host) { return host == 5; });
        network->run_for(30s);
        std::size_t dead = 0;
        for (std::size_t other = 0; other < 20; ++other) {
            dead += other != 5 && network->seen(5, other) == host_state::dead ? 1 : 0;
        }
        EXPECT_EQ(dead == 0, hold) << dead;
    }
}

} // namespace
} // namespace tamarack::testing
