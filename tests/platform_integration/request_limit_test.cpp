#include "steady_callers.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace tamarack::platform_integration {
namespace {

using namespace std::chrono_literals;

constexpr auto limited_for = 9s;
constexpr auto caller_pause = 20ms;
constexpr std::size_t callers = 16;
constexpr std::size_t replicas = 3;
/** Fewer requests a second than there are hosts. */
constexpr double limit = 6.0;
/** More than the limit allows for as long as the test may wait. */
constexpr unsigned unlimited_runs = 1'000;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";

/** Nine hosts under steady load, one of whose replicas states a limit on requests for some seconds. */
struct request_limit_test : ::testing::Test {
    platform_deployment m_deployment{3, 6};
    std::vector<stand_in_replica*> m_replicas;
    std::optional<steady_callers> m_callers;

    void SetUp() override {
        for (std::size_t count = 0; count < replicas; ++count) {
            m_replicas.push_back(&m_deployment.add_replica("orders"));
        }
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(host) == replicas; }));
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); }));
        }
        m_callers.emplace(m_deployment, callers, caller_pause);
    }
};

TEST_F(request_limit_test, all_hosts_together_keep_a_limit_below_their_number_and_notice_its_end) {
    stand_in_replica& replica = *m_replicas.front();
    ASSERT_TRUE(eventually([&] { return replica.runs > unlimited_runs / 10; }));
    replica.request_limit = limit;
    std::this_thread::sleep_for(limited_for);
    const auto breaches = m_deployment.request_limit_breaches();
    EXPECT_TRUE(breaches.empty()) << "got " << breaches.front().received << " requests in 4 s, "
                                  << breaches.front().allowed << " are allowed";
    m_deployment.lift_request_limit(replica);
    const unsigned before = replica.runs;
    EXPECT_TRUE(eventually([&] { return replica.runs > before + unlimited_runs; })) << m_deployment.logs();
}

} // namespace
} // namespace tamarack::platform_integration
