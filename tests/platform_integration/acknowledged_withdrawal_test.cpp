#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace tamarack::platform_integration {
namespace {

/** Time after which a replica that said that it drains or has ended must receive nothing more. */
constexpr std::chrono::milliseconds drain_time{3'000};
/** The host that receives the calls of the fifth replica, see start_heartbeats. */
constexpr std::size_t registrar = 4;
constexpr int requests_to_each_host = 30;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";

/** Six hosts and five replicas of one service; each host serves. */
struct acknowledged_withdrawal : ::testing::Test {
    platform_deployment m_deployment{3, 3};
    std::vector<stand_in_replica*> m_replicas;

    void SetUp() override {
        for (std::size_t count = 0; count <= registrar; ++count) {
            m_replicas.push_back(&m_deployment.add_replica("orders"));
        }
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(host) == m_replicas.size(); }))
                << m_deployment.logs();
            ASSERT_TRUE(eventually([&] {
                const auto response = m_deployment.request(host, "x.example", "/fetch/1");
                return response && response->status == status_ok;
            })) << m_deployment.logs();
        }
    }

    /** Kills the host that has just acknowledged the call of the last replica, then expects that the other
     * hosts send it nothing once the drain time is over. */
    void expect_nothing_after_loss_of_registrar() {
        const auto acknowledged_at = std::chrono::steady_clock::now();
        m_deployment.kill_host(registrar);
        std::this_thread::sleep_until(acknowledged_at + drain_time);
        const unsigned before = m_replicas[registrar]->runs;
        for (int request = 0; request < requests_to_each_host; ++request) {
            for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
                if (host != registrar) {
                    m_deployment.request(host, "x.example", "/fetch/1");
                }
            }
        }
        EXPECT_EQ(m_replicas[registrar]->runs, before) << m_deployment.logs();
    }
};

/** Guards against an end that only the acknowledging host knows when it is lost. */
TEST_F(acknowledged_withdrawal, of_an_ended_replica_outlives_the_host_that_acknowledged_it) {
    ASSERT_EQ(m_deployment.deregister(*m_replicas[registrar], registrar), status_ok);
    expect_nothing_after_loss_of_registrar();
}

/** Guards against the same while the replica's next heartbeats are late. */
TEST_F(acknowledged_withdrawal, of_a_draining_replica_outlives_the_host_that_acknowledged_it) {
    m_replicas[registrar]->ended = true; // no more heartbeats of its own
    ASSERT_EQ(m_deployment.send_heartbeat(*m_replicas[registrar], registrar, "draining"), status_ok);
    expect_nothing_after_loss_of_registrar();
}

} // namespace
} // namespace tamarack::platform_integration
