#include "network_scenarios.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace tamarack::testing {
namespace {

constexpr time_point start{1h};
const replication_options options;

target_record ended_target(const std::string& name = "t1") {
    target_record record;
    record.latest.target = target_id{name};
    return record;
}

/** Replicates records; the completions are recorded by name. */
struct update_replication_test : ::testing::Test {
    update_replication m_replication{options};
    std::vector<std::string> m_completed;

    void begin(const std::string& name, std::vector<host_id> candidates) {
        m_replication.begin(
            start, ended_target(name), std::move(candidates), [this, name](const outcome<done>& result) {
                m_completed.push_back(name + (succeeded(result) ? " replicated" : " unavailable"));
            });
    }

    std::vector<host_id> asked() {
        std::vector<host_id> hosts;
        for (const update_replication::request& request : m_replication.take_requests()) {
            hosts.push_back(request.to);
        }
        return hosts;
    }
};

const host_id first{"a"};
const host_id second{"b"};
const host_id third{"c"};
const std::vector<host_id> candidates{first, second, third};

TEST_F(update_replication_test, completes_once_enough_hosts_have_confirmed) {
    begin("t1", candidates);
    EXPECT_EQ(asked(), (std::vector{first, second}));
    m_replication.on_confirmation(1, second);
    m_replication.on_confirmation(1, second);
    m_replication.on_confirmation(1, third);
    EXPECT_TRUE(m_completed.empty())
        << "a repeated confirmation, or one of a host that was not asked, counts";
    m_replication.on_confirmation(1, first);
    EXPECT_EQ(m_completed, std::vector<std::string>{"t1 replicated"});
    EXPECT_EQ(m_replication.next_timer(), time_point::max());
}

TEST_F(update_replication_test, needs_no_more_hosts_than_there_are) {
    begin("t1", {first});
    m_replication.on_confirmation(1, first);
    EXPECT_EQ(m_completed, std::vector<std::string>{"t1 replicated"});
}

/** Failure pattern: a host is paused, so that it is still considered alive and does not confirm. */
TEST_F(update_replication_test, replaces_a_host_that_does_not_confirm) {
    begin("t1", candidates);
    asked();
    m_replication.on_confirmation(1, first);
    m_replication.on_timer(start + options.retry_interval - 1us);
    EXPECT_TRUE(asked().empty());
    m_replication.on_timer(m_replication.next_timer());
    EXPECT_EQ(asked(), std::vector{third});
    m_replication.on_confirmation(1, third);
    EXPECT_EQ(m_completed, std::vector<std::string>{"t1 replicated"});
}

TEST_F(update_replication_test, is_unavailable_after_the_timeout) {
    begin("t1", candidates);
    m_replication.on_confirmation(1, first);
    m_replication.on_timer(start + options.timeout - 1us);
    EXPECT_TRUE(m_completed.empty());
    m_replication.on_timer(start + options.timeout);
    EXPECT_EQ(m_completed, std::vector<std::string>{"t1 unavailable"});
}

/** Guards against a target whose resent calls multiply the messages. */
TEST_F(update_replication_test, sends_a_record_once_for_all_that_wait_for_it) {
    begin("t1", candidates);
    begin("t1", candidates);
    begin("t2", candidates);
    EXPECT_EQ(asked().size(), 2 * options.copies);
    m_replication.on_confirmation(1, first);
    m_replication.on_confirmation(1, second);
    EXPECT_EQ(m_completed, (std::vector<std::string>{"t1 replicated", "t1 replicated"}));
}

/**
 * Failure pattern: the host that acknowledged the end of a target is lost at that moment, together with one
 * of the hosts that confirmed it.
 */
TEST(update_replication, of_an_ended_target_reaches_all_hosts_after_the_loss_of_its_host) {
    for (const bool relayed : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            SCOPED_TRACE((relayed ? "relayed, seed " : "direct, seed ") + std::to_string(seed));
            network_conditions conditions;
            conditions.as_text = true;
            detector_options detector;
            detector.max_direct_push_hosts = relayed ? 0 : 128;
            detector.relay_updates = relayed;
            const auto network = make_network(seed, {30, 4, 10}, conditions, {}, detector);
            ASSERT_EQ(network->count_using(3), 30U);
            bool acknowledged = false;
            network->deregister(3, 7, [&] {
                acknowledged = true;
                network->kill_host(7);
                network->kill_host(9);
            });
            network->run_for(1s);
            EXPECT_TRUE(acknowledged);
            EXPECT_EQ(network->up_hosts(), 28U);
            EXPECT_EQ(network->count_using(3), 0U);
        }
    }
}

/** Guards against an acknowledgement that no other host knows of. */
TEST(update_replication, is_not_acknowledged_by_a_host_that_is_cut_off) {
    const auto network = make_network(1, {10, 4, 10});
    network->partition = [](std::size_t from, std::size_t to) { return (from == 7) != (to == 7); };
    bool acknowledged = false;
    network->deregister(3, 7, [&] { acknowledged = true; });
    network->run_for(options.timeout + 100ms);
    EXPECT_EQ(network->count_using(3), 9U);
    network->run_for(5s);
    EXPECT_FALSE(acknowledged);
}

} // namespace
} // namespace tamarack::testing
