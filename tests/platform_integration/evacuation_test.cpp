#include "steady_callers.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace tamarack::platform_integration {
namespace {

using namespace std::chrono_literals;

constexpr auto caller_pause = 20ms;
constexpr std::size_t callers = 4;
constexpr std::size_t replicas = 3;
constexpr unsigned status_not_found = 404;
constexpr unsigned progress = 20;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":2500,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";

/** Five hosts in three zones under steady load, with a replica in each zone. */
struct evacuation_test : ::testing::Test {
    platform_deployment m_deployment{3, 2};
    std::vector<stand_in_replica*> m_replicas;

    void SetUp() override {
        m_deployment.evacuate_data_centers();
        for (std::size_t number = 0; number < replicas; ++number) {
            m_replicas.push_back(&m_deployment.add_replica("orders"));
            m_replicas.back()->zone = "zone-" + std::to_string(number);
        }
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), status_ok) << m_deployment.logs();
        m_deployment.start_heartbeats();
        await_service();
    }
    void await_service() {
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(host) == replicas; }));
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); })) << m_deployment.logs();
        }
    }
    /** @return whether each host has logged that it applies evacuation orders */
    bool is_known_everywhere() {
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            if (m_deployment.output(host).find("evacuations_changed") == std::string::npos) {
                return false;
            }
        }
        return true;
    }
    /** @return whether a replica receives several further requests */
    bool is_used(const stand_in_replica& replica) const {
        const unsigned before = replica.received;
        return eventually([&] { return replica.received >= before + progress; });
    }
};

TEST_F(evacuation_test, holds_over_a_restart_of_all_hosts_until_it_is_withdrawn) {
    std::optional<steady_callers> load;
    load.emplace(m_deployment, callers, caller_pause);
    const stand_in_replica& evacuated = *m_replicas[1];
    ASSERT_TRUE(is_used(evacuated));
    EXPECT_EQ(m_deployment.order_evacuation("zone-9", true), status_not_found);
    ASSERT_EQ(m_deployment.order_evacuation("zone-1", true, 4), status_ok) << m_deployment.logs();
    EXPECT_EQ(m_deployment.order_evacuation("zone-1", true, 1), status_ok) << "a repeated order";
    ASSERT_TRUE(eventually([&] { return is_known_everywhere(); })) << m_deployment.logs();
    EXPECT_TRUE(is_used(*m_replicas[0])) << "requests that were running have ended";
    const unsigned received = evacuated.received;
    EXPECT_TRUE(is_used(*m_replicas[0]) && is_used(*m_replicas[2]));
    EXPECT_EQ(evacuated.received, received);

    load.reset();
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        m_deployment.kill_host(host);
    }
    m_deployment.start_all();
    load.emplace(m_deployment, callers, caller_pause);
    await_service();
    EXPECT_TRUE(is_used(*m_replicas[0]) && is_used(*m_replicas[2]));
    EXPECT_EQ(evacuated.received, received) << m_deployment.logs();

    ASSERT_EQ(m_deployment.order_evacuation("zone-1", false), status_ok);
    EXPECT_TRUE(is_used(evacuated)) << m_deployment.logs();
}

} // namespace
} // namespace tamarack::platform_integration
