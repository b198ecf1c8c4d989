#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace tamarack::platform_integration {
namespace {

constexpr std::size_t hosts_with_disk = 3;
constexpr std::size_t entry_hosts = 3;
constexpr std::size_t replicas_of_service = 3;
constexpr std::size_t callers = 12;
constexpr int requests_of_a_caller = 200;
/** Primes, so that a reply can be a failure or a rejection and be repeated, in each combination. */
constexpr unsigned fails_each = 5;
constexpr unsigned rejects_each = 7;
constexpr unsigned repeats_each = 3;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":1500,"target-latency-ms":250,
  "priority":1,"service":"orders","max-attempts":2},
 {"name":"order","host":"x.example","path-prefix":"/order/","type":"unsafe","timeout-ms":1500,"target-latency-ms":250,
  "priority":1,"service":"desk","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45},
  {"name":"desk","health-check-path":"/health","max-connections":45}]})";

/** Real processes whose replicas fail, reject and repeat part of their replies. */
struct stuttering_replicas_test : ::testing::Test {
    platform_deployment m_deployment{hosts_with_disk, entry_hosts};

    void SetUp() override {
        for (std::size_t count = 0; count < replicas_of_service; ++count) {
            for (const char* service : {"orders", "desk"}) {
                stand_in_replica& replica = m_deployment.add_replica(service);
                replica.fails_each = fails_each;
                replica.rejects_each = rejects_each;
                replica.repeats_each = repeats_each;
            }
        }
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(
                eventually([&] { return m_deployment.known_replicas(host) == 2 * replicas_of_service; }));
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); }));
        }
    }

    /** Sends requests on a kept connection. @return the number of successes */
    unsigned call(std::size_t caller) {
        const std::size_t host = caller % m_deployment.hosts();
        testing_support::persistent_connection connection{m_deployment.callers_address(host)};
        unsigned served = 0;
        for (int number = 0; number < requests_of_a_caller; ++number) {
            const char* path = number % 2 == 0 ? "/fetch/1" : "/order/1";
            const auto answer = m_deployment.request(host, "x.example", path, 2'000, &connection);
            served += answer && answer->status == status_ok ? 1 : 0;
        }
        return served;
    }
};

/** Guards against answers that belong to another request, and against rejections of another one that are
 * believed: replicas send a third of their replies twice, the second time where the next reply is due. */
TEST_F(stuttering_replicas_test, callers_get_the_replies_to_their_own_requests_only) {
    std::atomic<unsigned> served{0};
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([this, caller, &served] { served += call(caller); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(m_deployment.requests_answered_wrongly(), std::vector<std::string>{});
    EXPECT_EQ(m_deployment.requests_run_twice("desk"), std::vector<std::string>{});
    EXPECT_EQ(m_deployment.requests_run_after_refusal(), std::vector<std::string>{});
    EXPECT_GT(served, callers * requests_of_a_caller / 4);
}

} // namespace
} // namespace tamarack::platform_integration
