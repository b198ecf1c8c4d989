#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <deque>

namespace tamarack::platform_integration {
namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr auto window = 5s;
/** The bound of any window: (7 x 5 + 7) x 1.1 + 20. */
constexpr std::size_t bound = 66;
/** A slow machine may answer fewer requests for tokens in time than the limit allows. */
constexpr std::size_t min_served = 20;
constexpr unsigned status_limited = 429;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}],
 "tenants":[{"name":"divers","api-keys":["k1"],"requests-per-s":7,"burst":7}]})";

/** Guards against a limit that each host applies to its own part only, or that serves nothing: six processes,
 * and a team that sends as fast as one caller can. */
TEST(team_limit_test, all_hosts_together_keep_a_teams_limit) {
    platform_deployment deployment{3, 3};
    deployment.revoke_keys_everywhere();
    deployment.use_key("k1");
    deployment.add_replica("orders");
    deployment.start_all();
    ASSERT_EQ(deployment.submit(document), status_ok) << deployment.logs();
    deployment.start_heartbeats();
    for (std::size_t host = 0; host < deployment.hosts(); ++host) {
        ASSERT_TRUE(eventually([&] { return deployment.known_replicas(host) == 1; }));
        ASSERT_TRUE(eventually([&] { return deployment.ready(host); }));
    }
    std::deque<clock_type::time_point> served;
    std::size_t most = 0;
    std::size_t limited = 0;
    std::size_t all = 0;
    std::size_t host = 0;
    const auto end = clock_type::now() + 2 * window;
    while (clock_type::now() < end) {
        const auto answer = deployment.request(host++ % deployment.hosts(), "x.example", "/fetch/1");
        const auto now = clock_type::now();
        if (answer && answer->status == status_ok) {
            served.push_back(now);
            ++all;
        } else if (answer && answer->status == status_limited) {
            ++limited;
            EXPECT_FALSE(answer->field("retry-after").empty());
        }
        while (!served.empty() && now - served.front() >= window) {
            served.pop_front();
        }
        most = std::max(most, served.size());
    }
    RecordProperty("most", std::to_string(most));
    RecordProperty("served", std::to_string(all));
    RecordProperty("refused", std::to_string(limited));
    EXPECT_LE(most, bound) << deployment.logs();
    EXPECT_GE(all, min_served) << deployment.logs();
    EXPECT_GT(limited, 0U);
}

} // namespace
} // namespace tamarack::platform_integration
