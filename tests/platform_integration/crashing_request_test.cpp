#include "platform_deployment.h"

#include <gtest/gtest.h>

namespace tamarack::platform_integration {
namespace {

/** Retries that may still reach replicas once a request has crashed the third. */
constexpr std::size_t tolerated_retries = 3;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";

TEST(crashing_request, is_not_sent_to_a_second_replica_again_by_each_host_that_starts) {
    constexpr std::size_t restarted = 4;
    constexpr std::size_t replicas = 4;
    platform_deployment deployment{3, 2, replica_path::through_proxy};
    for (std::size_t count = 0; count < replicas; ++count) {
        deployment.add_replica("orders");
    }
    deployment.start_all();
    ASSERT_EQ(deployment.submit(document), 200U) << deployment.logs();
    deployment.start_heartbeats();
    const auto serves = [&](std::size_t host) {
        return eventually([&] { return deployment.known_replicas(host) == replicas; }) && eventually([&] {
                   const auto response = deployment.request(host, "x.example", "/fetch/1");
                   return response && response->status == 200U;
               });
    };
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        ASSERT_TRUE(serves(host)) << deployment.logs();
    }
    // A host that has just started earns its first repeats by other requests.
    ASSERT_TRUE(eventually([&] {
        for (int request = 0; request < 10; ++request) {
            deployment.request(restarted, "x.example", "/fetch/1");
        }
        deployment.request(restarted, "x.example", crashing_path);
        return deployment.output(0).find("crashing_request_told") != std::string::npos;
    })) << deployment.logs();

    const std::size_t before = deployment.extra_load("orders");
    for (std::size_t round = 0; round < 2 * (tolerated_retries + 1); ++round) {
        deployment.kill_host(restarted);
        deployment.start_host(restarted);
        ASSERT_TRUE(serves(restarted)) << deployment.logs();
        for (int request = 0; request < 20; ++request) {
            deployment.request(restarted, "x.example", "/fetch/1");
        }
        deployment.request(restarted, "x.example", crashing_path);
    }
    EXPECT_LE(deployment.extra_load("orders") - before, tolerated_retries)
        << "each host that starts retries a request that the others know\n"
        << deployment.logs();
}

} // namespace
} // namespace tamarack::platform_integration
