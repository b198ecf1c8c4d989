#include "platform_deployment.h"

#include <gtest/gtest.h>

namespace tamarack::platform_integration {
namespace {

/** Maximum number of retries that may still reach replicas after a request has crashed the third one. */
constexpr std::size_t tolerated_retries = 3;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";

/** Waits until a host knows this number of replicas and serves. @return false on time-out */
bool serves(platform_deployment& deployment, std::size_t host, std::size_t replicas) {
    return eventually([&] { return deployment.known_replicas(host) == replicas; }) && eventually([&] {
               const auto response = deployment.request(host, "x.example", "/fetch/1");
               return response && response->status == 200U;
           });
}

/** Starts all hosts and the replicas of one service, and waits until each host serves. */
void start_with_replicas(platform_deployment& deployment, std::size_t replicas) {
    for (std::size_t count = 0; count < replicas; ++count) {
        deployment.add_replica("orders");
    }
    deployment.start_all();
    ASSERT_EQ(deployment.submit(document), 200U) << deployment.logs();
    deployment.start_heartbeats();
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        ASSERT_TRUE(serves(deployment, host, replicas)) << deployment.logs();
    }
}

/** @return the number of crash losses a host has logged, its own and those reported by other hosts */
std::size_t losses_known(platform_deployment& deployment, std::size_t host) {
    const std::string output = deployment.output(host);
    std::size_t known = 0;
    for (const std::string line : {" crashing_request_told ", " crash_evidence ticket=1 step=confirmed "}) {
        for (auto at = output.find(line); at != std::string::npos; at = output.find(line, at + 1)) {
            ++known;
        }
    }
    return known;
}

TEST(crashing_request, is_not_retried_again_by_each_restarted_host) {
    constexpr std::size_t restarted = 4;
    constexpr std::size_t replicas = 4;
    constexpr std::size_t losses_that_are_evidence = 2;
    platform_deployment deployment{3, 2, replica_path::through_proxy};
    ASSERT_NO_FATAL_FAILURE(start_with_replicas(deployment, replicas));
    // A host that has just started gets its first extra exchanges only after serving other requests.
    ASSERT_TRUE(eventually([&] {
        for (int request = 0; request < 10; ++request) {
            deployment.request(restarted, "x.example", "/fetch/1");
        }
        deployment.request(restarted, "x.example", crashing_path);
        return losses_known(deployment, 0) >= losses_that_are_evidence;
    })) << deployment.logs();

    const std::size_t before = deployment.extra_load("orders");
    for (std::size_t round = 0; round < 2 * (tolerated_retries + 1); ++round) {
        deployment.kill_host(restarted);
        deployment.start_host(restarted);
        ASSERT_TRUE(serves(deployment, restarted, replicas)) << deployment.logs();
        for (int request = 0; request < 20; ++request) {
            deployment.request(restarted, "x.example", "/fetch/1");
        }
        deployment.request(restarted, "x.example", crashing_path);
    }
    EXPECT_LE(deployment.extra_load("orders") - before, tolerated_retries)
        << "each restarted host retries a request that other hosts know to crash replicas\n"
        << deployment.logs();
}

TEST(crashing_request, is_refused_by_all_hosts_once_it_has_crashed_three_replicas) {
    constexpr std::size_t replicas = 6;
    constexpr unsigned crashes_to_refuse = 3;
    platform_deployment deployment{3, 2, replica_path::through_proxy};
    ASSERT_NO_FATAL_FAILURE(start_with_replicas(deployment, replicas));
    for (std::size_t host = 0; deployment.crashes() < crashes_to_refuse; ++host) {
        const std::size_t at = host % deployment.hosts();
        deployment.request(at, "x.example", crashing_path);
        ASSERT_TRUE(eventually([&] { return losses_known(deployment, at) >= 1; })) << deployment.logs();
    }
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        ASSERT_TRUE(eventually([&] { return losses_known(deployment, host) >= crashes_to_refuse; }))
            << deployment.logs();
    }

    const unsigned before = deployment.crashes();
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        const auto refusal = deployment.request(host, "x.example", crashing_path);
        ASSERT_TRUE(refusal.has_value());
        EXPECT_EQ(refusal->status, 503U);
        EXPECT_TRUE(refusal->fields.contains("retry-after"));
        const auto other = deployment.request(host, "x.example", "/fetch/1");
        ASSERT_TRUE(other.has_value());
        EXPECT_EQ(other->status, 200U) << "another request of the route";
    }
    EXPECT_EQ(deployment.crashes(), before);
    EXPECT_EQ(deployment.requests_run_after_refusal(), std::vector<std::string>{});
}

} // namespace
} // namespace tamarack::platform_integration
