#include "platform_deployment.h"

#include <gtest/gtest.h>

namespace tamarack::platform_integration {
namespace {

const std::string document = R"({"version":1,"routes":[
 {"name":"match","host":"x.example","path-prefix":"/match/","type":"safe","timeout-ms":800,"target-latency-ms":200,
  "priority":1,"fanout-services":["s1","s2","s3","s4","s5"],"max-attempts":2,"result-limit":4,
  "min-shard-fraction":1.0}],
 "services":[{"name":"s1","health-check-path":"/health","max-connections":26},
  {"name":"s2","health-check-path":"/health","max-connections":26},
  {"name":"s3","health-check-path":"/health","max-connections":26},
  {"name":"s4","health-check-path":"/health","max-connections":26},
  {"name":"s5","health-check-path":"/health","max-connections":26}]})";

/** Guards against stamps of replicas that together exceed a field's limit and end the host's process. */
TEST(long_stamps, of_all_shards_do_not_end_the_host) {
    constexpr std::size_t stamp_bytes = 14'000; // five of them exceed 64 KiB
    platform_deployment deployment{3, 0};
    std::vector<stand_in_replica*> replicas;
    for (const char* shard : {"s1", "s2", "s3", "s4", "s5"}) {
        replicas.push_back(&deployment.add_replica(shard));
    }
    deployment.start_all();
    ASSERT_EQ(deployment.submit(document), status_ok) << deployment.logs();
    deployment.start_heartbeats();
    const auto is_served = [&] {
        const auto response = deployment.request(0, "x.example", "/match/1");
        return response && response->status == status_ok;
    };
    ASSERT_TRUE(eventually(is_served)) << deployment.logs();
    for (stand_in_replica* replica : replicas) {
        replica->min_stamp_bytes = stamp_bytes;
    }
    is_served(); // the stand-in of the caller doesn't read a head of this size
    for (stand_in_replica* replica : replicas) {
        EXPECT_GT(replica->runs, 0U);
        replica->min_stamp_bytes = 0;
    }
    EXPECT_TRUE(eventually(is_served)) << deployment.logs();
    EXPECT_EQ(deployment.output(0).find("terminate called"), std::string::npos) << deployment.output(0);
}

} // namespace
} // namespace tamarack::platform_integration
