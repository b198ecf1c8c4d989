#include "platform_deployment.h"

#include <gtest/gtest.h>

namespace tamarack::platform_integration {
namespace {

constexpr std::size_t hosts_with_disk = 3;
constexpr int versions = 3;

/** @return a configuration of this number of routes */
std::string configuration(int version, int routes) {
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int route = 0; route < routes; ++route) {
        const std::string number = std::to_string(route);
        text += route == 0 ? "" : ",";
        text += R"({"name":"r-)" + number;
        text += R"(","host":"h)" + number;
        text += R"(.example","path-prefix":"/p)" + number;
        text += R"(/","type":"safe","timeout-ms":2500,"target-latency-ms":250,"priority":1,)";
        text += R"("service":"orders","max-attempts":2})";
    }
    text += R"(],"services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";
    return text;
}

/** Guards against a configuration that the leader accepts into its log and can't send to the other control
 * hosts, as its message is too long: no later change is acknowledged then. */
TEST(large_configuration, is_acknowledged_and_read_back_like_any_other) {
    constexpr int routes = 20'000;
    platform_deployment deployment{hosts_with_disk, 0};
    deployment.start_all();
    for (int version = 1; version <= versions; ++version) {
        ASSERT_EQ(deployment.submit(configuration(version, version == 2 ? routes : 1)), 200U)
            << "version " << version << deployment.logs();
    }
    const auto held = deployment.describe();
    ASSERT_TRUE(held);
    EXPECT_NE(held->body.find(R"("version":3)"), std::string::npos) << held->body;
}

/** Guards against a leader that ends with its memory over the limit, and with it the requests that it serves:
 * it needed the memory of a whole configuration for each host. */
TEST(large_configuration, takes_no_more_memory_than_a_host_has_with_many_hosts) {
    constexpr std::size_t entry_hosts = 40;
    constexpr int routes = 8'000;
    constexpr std::size_t limit_kib = 160 * std::size_t{1'024}; ///< on the users' grown sites
    platform_deployment deployment{hosts_with_disk, entry_hosts};
    deployment.start_all();
    for (int version = 1; version <= versions; ++version) {
        ASSERT_EQ(deployment.submit(configuration(version, version == 1 ? 1 : routes + version)), 200U)
            << "version " << version << deployment.logs();
        ASSERT_TRUE(eventually([&] { return deployment.hosts_that_serve(version) == deployment.hosts(); }))
            << "version " << version << deployment.logs();
    }
    for (std::size_t host = 0; host < hosts_with_disk; ++host) {
        const std::size_t peak_kib = deployment.process(host).peak_memory_kib();
        EXPECT_GT(peak_kib, 0U) << "host " << host << " has ended";
        EXPECT_LT(peak_kib, limit_kib) << "host " << host;
    }
}

} // namespace
} // namespace tamarack::platform_integration
