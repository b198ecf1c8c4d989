#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <csignal>

namespace tamarack::platform_integration {
namespace {

std::string document(unsigned version, const std::string& keys) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"fetch","host":"y.example","path-prefix":"/fetch/","type":"safe","timeout-ms":2500,
 "target-latency-ms":250,"priority":2,"service":"orders","max-attempts":2,"public":false},
 {"name":"open","host":"y.example","path-prefix":"/open/","type":"safe","timeout-ms":2500,"target-latency-ms":250,
 "priority":2,"service":"orders","max-attempts":2,"public":true}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"divers","api-keys":[)" +
           keys + R"(],"priority":0,"requests-per-s":0,"burst":0}]})";
}

/** Three control hosts and an entry host, with one replica. */
struct caller_keys : ::testing::Test {
    static constexpr std::size_t entry_host = 3;
    platform_deployment m_deployment{3, 1};
    stand_in_replica* m_replica = nullptr;

    void SetUp() override {
        m_deployment.revoke_keys_everywhere();
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document(3, R"("k1","k2")")), status_ok) << m_deployment.logs();
        m_replica = &m_deployment.add_replica("orders");
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return status(host, "k1") == status_ok; })) << m_deployment.logs();
        }
    }

    unsigned status(std::size_t host, const std::string& key, const std::string& path = "/fetch/1") {
        m_deployment.set_caller_fields({});
        if (!key.empty()) {
            m_deployment.set_caller_fields(
                {{"authorization", "Bearer " + key}, {"x-tamarackstand-tenant", "another"}});
        }
        const auto response = m_deployment.request(host, "y.example", path);
        return response ? response->status : 0;
    }
};

constexpr unsigned status_unauthorized = 401;

/** Guards against requests that run for an unknown caller, and against keys and names of teams that callers
 * pass through to replicas. */
TEST_F(caller_keys, are_replaced_by_the_team_on_the_way_to_replicas) {
    EXPECT_EQ(status(entry_host, "k3"), status_unauthorized);
    EXPECT_EQ(status(entry_host, ""), status_unauthorized);
    EXPECT_EQ(status(entry_host, "", "/open/1"), status_ok);
    const unsigned before = m_replica->runs_for_team;
    EXPECT_EQ(status(entry_host, "k2"), status_ok);
    EXPECT_EQ(m_replica->runs_for_team, before + 1);
    EXPECT_FALSE(m_replica->saw_key);
}

TEST_F(caller_keys, that_a_ticket_removes_are_refused_on_all_hosts) {
    ASSERT_EQ(m_deployment.submit(document(4, R"("k2")")), status_ok);
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        EXPECT_TRUE(eventually([&] { return status(host, "k1") == status_unauthorized; }));
        EXPECT_EQ(status(host, "k2"), status_ok);
    }
}

/** Failure pattern: the control hosts are gone, so that no host can know whether a key was removed. */
TEST_F(caller_keys, are_refused_as_not_run_once_the_control_hosts_are_out_of_reach) {
    for (std::size_t host = 0; host < entry_host; ++host) {
        m_deployment.kill_host(host);
    }
    EXPECT_TRUE(eventually([&] { return status(entry_host, "k1") == status_not_run; }))
        << m_deployment.logs();
    const unsigned runs = m_replica->runs;
    EXPECT_EQ(status(entry_host, "k1"), status_not_run);
    EXPECT_EQ(m_replica->runs, runs);
    EXPECT_EQ(status(entry_host, "", "/open/1"), status_ok) << "public routes are served as before";
}

} // namespace
} // namespace tamarack::platform_integration
