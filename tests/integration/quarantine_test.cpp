#include "cluster.h"

#include <gtest/gtest.h>

#include <string>

namespace tamarack::integration {
namespace {

class quarantine : public ::testing::Test {
protected:
    static constexpr int replicas = 4;

    quarantine() : m_running(options()) { m_running.start_serving(); }

    static cluster_options options() {
        cluster_options chosen;
        chosen.shards = {"s1"};
        chosen.replicas = replicas;
        chosen.target_arguments = {"--crash-on", "poison"};
        return chosen;
    }

    /** Restarts the targets that crashed. @return their number */
    unsigned restart_lost_targets() {
        unsigned lost = 0;
        for (int replica = 0; replica < replicas; ++replica) {
            if (m_running.processes().at(cluster::target_name("s1", replica)).poll()) {
                m_running.start_target("s1", replica);
                ++lost;
            }
        }
        return lost;
    }

    cluster m_running;
};

TEST_F(quarantine, loses_at_most_two_targets_to_a_request_that_crashes_them) {
    unsigned lost = 0;
    std::string history;
    for (int attempt = 0; attempt < 3; ++attempt) {
        for (const std::string& host : m_running.hosts()) {
            const auto response = m_running.query(host, "poison");
            ASSERT_TRUE(response);
            EXPECT_NE(to_json(response->body)["outcome"], "answered");
            const unsigned lost_now = restart_lost_targets();
            lost += lost_now;
            history += host + " lost " + std::to_string(lost_now) + ": " + response->body;
            m_running.wait_until_serving(host);
        }
    }
    EXPECT_GE(lost, 1U);
    EXPECT_LE(lost, 2U) << history;
    for (const std::string& host : m_running.hosts()) {
        const auto refused = m_running.query(host, "poison");
        ASSERT_TRUE(refused);
        EXPECT_EQ(to_json(refused->body)["reason"], "quarantined") << refused->body;
    }
}

} // namespace
} // namespace tamarack::integration
