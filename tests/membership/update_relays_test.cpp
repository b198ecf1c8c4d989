#include "network_scenarios.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace tamarack::testing {
namespace {

constexpr std::size_t data_centers = 4;
constexpr std::uint64_t last_seed = 5;

host_record record_of(const std::string& name, const std::string& data_center, bool control) {
    host_record record;
    record.host = host_id{name};
    record.data_center = data_center_id{data_center};
    record.hosts_address = endpoint{name + ":1"};
    record.control = control;
    return record;
}

/** Twelve hosts in three data centres; the first host of each is a control host. */
struct relays_of_three_data_centers : ::testing::Test {
    relays_of_three_data_centers() {
        for (std::size_t host = 0; host < 12; ++host) {
            m_records.push_back(
                record_of("host-" + std::to_string(host), data_center_name(host % 3), host < 3));
        }
    }

    update_relays seen_by(std::size_t self) const {
        host_table hosts;
        for (std::size_t host = 0; host < m_records.size(); ++host) {
            if (host != self) {
                hosts.merge(time_point{1h}, m_records[host]);
            }
        }
        update_relays relays;
        relays.refresh(m_records[self], hosts);
        return relays;
    }

    std::vector<host_record> m_records;
    random_source m_random{1};
};

TEST_F(relays_of_three_data_centers, are_the_control_hosts_and_all_hosts_agree) {
    for (std::size_t self = 0; self < m_records.size(); ++self) {
        const update_relays relays = seen_by(self);
        EXPECT_EQ(relays.own_relay(), m_records[self % 3].host);
        EXPECT_EQ(relays.is_relay(), self < 3);
        EXPECT_EQ(relays.other_relays().size(), 2U);
    }
}

TEST_F(relays_of_three_data_centers, are_replaced_by_another_host_when_they_are_gone) {
    m_records[1].state = host_state::suspect;
    std::set<host_id> chosen;
    for (const std::size_t self : {4U, 7U, 10U, 0U}) {
        const update_relays relays = seen_by(self);
        for (const host_record& record : m_records) {
            if (record.data_center == data_center_id{"dc-1"} && relays.is_relay(record.host)) {
                chosen.insert(record.host);
            }
        }
    }
    EXPECT_EQ(chosen.size(), 1U);
    EXPECT_FALSE(chosen.contains(m_records[1].host));
}

TEST_F(relays_of_three_data_centers, send_an_update_once_to_each_host) {
    const update_relays relay = seen_by(0);
    std::vector<host_id> receivers = relay.receivers(update_scope::everyone, m_random);
    for (const std::size_t other : {1U, 2U}) {
        const auto further = seen_by(other).receivers(update_scope::own_data_center, m_random);
        receivers.insert(receivers.end(), further.begin(), further.end());
    }
    const std::set<host_id> distinct{receivers.begin(), receivers.end()};
    EXPECT_EQ(receivers.size(), 11U);
    EXPECT_EQ(distinct.size(), 11U);
}

TEST_F(relays_of_three_data_centers, an_ordinary_host_pushes_to_its_relay_and_one_more) {
    const auto receivers = seen_by(5).receivers(update_scope::everyone, m_random);
    ASSERT_EQ(receivers.size(), 2U);
    EXPECT_EQ(receivers.front(), m_records[2].host);
    EXPECT_TRUE(seen_by(5).receivers(update_scope::own_data_center, m_random).empty());
}

TEST_F(relays_of_three_data_centers, send_their_state_only_to_hosts_that_have_just_started) {
    host_record new_host = m_records[3];
    EXPECT_FALSE(seen_by(0).sends_state_to(new_host))
        << "it is in the directory and has already received the state";
    new_host.draining = true;
    EXPECT_TRUE(seen_by(0).sends_state_to(new_host));
    EXPECT_FALSE(seen_by(1).sends_state_to(new_host)) << "relay of another data centre";
    EXPECT_FALSE(seen_by(6).sends_state_to(new_host)) << "not a relay";
    host_record relay = m_records[1];
    relay.draining = true;
    EXPECT_NE(seen_by(0).sends_state_to(relay), seen_by(2).sends_state_to(relay))
        << "exactly one other relay sends its state to a relay";
}

/**
 * A network that uses relays, with the users' platform's settings for more than directly_notified_hosts
 * hosts, at a size that is practical for tests.
 */
std::unique_ptr<virtual_network> make_relayed(std::uint64_t seed, std::size_t hosts, std::size_t targets) {
    auto network = std::make_unique<virtual_network>(seed, network_conditions{});
    network->detector.max_direct_push_hosts = 4;
    network->detector.relay_updates = true;
    network->detector.probe_interval = 300ms;
    network->detector.probe_timeout = 120ms;
    network->detector.probe_limit = 350ms;
    network->registry.only_known_services = false;
    network->registry.incarnations_are_start_times = true;
    for (std::size_t host = 0; host < hosts; ++host) {
        network->add_host(data_center_name(host % data_centers));
        network->hosts()[host].record.control = host < data_centers;
        network->hosts()[host].record.draining = true;
    }
    for (std::size_t host = 0; host < hosts; ++host) {
        network->start_host(host);
    }
    for (std::size_t target = 0; target < targets; ++target) {
        network->add_target(data_center_name(target % data_centers), "finder", "s" + std::to_string(target),
                            0);
    }
    network->run_for(3s);
    for (std::size_t host = 0; host < hosts; ++host) {
        network->drain_host(host, false);
    }
    network->run_for(3s);
    return network;
}

void for_each_seed(const std::function<void(virtual_network&)>& check) {
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const auto network = make_relayed(seed, 40, 60);
        check(*network);
    }
}

/**
 * Load pattern: all hosts start at once with three known seeds, while targets already announce themselves.
 */
TEST(relayed_network, hosts_that_start_together_know_all_within_six_seconds) {
    for_each_seed([](virtual_network& network) { EXPECT_TRUE(network.views_agree()); });
}

TEST(relayed_network, a_draining_target_is_known_everywhere_within_a_second) {
    for_each_seed([](virtual_network& network) {
        drain_target(network, 3, 1s);
        EXPECT_EQ(network.count_using(3), 0U);
        EXPECT_EQ(network.count_using(4), 40U);
    });
}

/** The relay of a data centre is killed, and a target starts draining before any host has noticed. */
TEST(relayed_network, a_lost_relay_delays_updates_by_less_than_the_time_to_drain) {
    for_each_seed([](virtual_network& network) {
        network.kill_host(1);
        drain_target(network, 3, 5s);
        EXPECT_EQ(network.count_using(3), 0U);
    });
}

TEST(relayed_network, a_rolling_restart_of_all_hosts_drops_no_target) {
    for_each_seed([](virtual_network& network) {
        for (std::size_t host = 0; host < 40; ++host) {
            network.leave_host(host);
            network.run_for(300ms);
            network.hosts()[host].record.draining = true;
            network.start_host(host);
            network.run_for(300ms);
            network.drain_host(host, false);
        }
        network.run_for(12s);
        EXPECT_TRUE(network.views_agree());
    });
}

TEST(relayed_network, views_agree_after_a_partition_of_a_data_center) {
    for_each_seed([](virtual_network& network) {
        const auto inside = [](std::size_t host) { return host % data_centers == 2; };
        network.partition = [inside](std::size_t from, std::size_t to) { return inside(from) != inside(to); };
        network.run_for(20s);
        network.partition = nullptr;
        network.run_for(10s);
        EXPECT_TRUE(network.views_agree());
    });
}

/** Three per cent of the messages are lost for a long time. */
TEST(relayed_network, views_agree_despite_lost_messages) {
    for_each_seed([](virtual_network& network) {
        network.conditions.loss = 0.03;
        network.set_target_state(5, target_state::draining);
        network.run_for(25s);
        EXPECT_EQ(network.count_using(5), 0U);
        network.conditions.loss = 0;
        network.run_for(12s);
        EXPECT_TRUE(network.views_agree());
    });
}

/**
 * The restart of one host must not send the full state to the others: only the host that starts receives
 * it.
 */
TEST(relayed_network, the_restart_of_a_relay_sends_no_full_state_to_the_others) {
    const auto network = make_relayed(1, 40, 60);
    network->conditions.as_text = true;
    network->leave_host(1);
    network->run_for(1s);
    std::uint64_t before = 0;
    for (const virtual_host& host : network->hosts()) {
        before = std::max(before, host.bytes_received);
    }
    network->hosts()[1].record.draining = true;
    network->start_host(1);
    network->run_for(3s);
    const std::size_t full_state_size =
        encode_membership_message(update_push{host_id{"a"}, {{}, network->hosts()[0].registry->all()}})
            .toStyledString()
            .size();
    std::size_t full_state_receivers = 0;
    for (std::size_t host = 0; host < 40; ++host) {
        full_state_receivers += network->hosts()[host].bytes_received > before + 4 * full_state_size ? 1 : 0;
    }
    EXPECT_LE(full_state_receivers, 4U) << "the host that starts, and relays that compare states with it";
}

} // namespace
} // namespace tamarack::testing
