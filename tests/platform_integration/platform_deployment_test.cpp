#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <numeric>

namespace tamarack::platform_integration {
namespace {

std::string document(unsigned version, const std::string& single = "orders") {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"match","host":"x.example","path-prefix":"/match/","type":"safe","timeout-ms":800,"target-latency-ms":200,
  "priority":1,"fanout-services":["s1","s2","s3"],"max-attempts":2,"result-limit":4,"min-shard-fraction":0.6},
 {"name":"fetch","host":"y.example","path-prefix":"/fetch/","type":"safe","timeout-ms":2500,"target-latency-ms":250,
  "priority":2,"service":")" +
           single + R"(","max-attempts":2}],
 "services":[{"name":"s1","health-check-path":"/health","max-connections":26},
  {"name":"s2","health-check-path":"/health","max-connections":26},
  {"name":"s3","health-check-path":"/health","max-connections":26},
  {"name":"orders","health-check-path":"/health","max-connections":45},
  {"name":"stocks","health-check-path":"/health","max-connections":45}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

/** Five hosts with two replicas per service; the first configuration is in force. */
struct platform_deployment_test : ::testing::Test {
    static constexpr unsigned all_replicas = 10;
    platform_deployment m_deployment{3, 2};
    std::map<std::string, std::vector<stand_in_replica*>> m_replicas;

    void SetUp() override {
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document(3)), 200U) << m_deployment.logs();
        for (const char* service : {"s1", "s2", "s3", "orders", "stocks"}) {
            for (int count = 0; count < 2; ++count) {
                m_replicas[service].push_back(&m_deployment.add_replica(service));
            }
        }
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); })) << m_deployment.logs();
            ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(host) == all_replicas; }))
                << m_deployment.logs();
            ASSERT_TRUE(eventually([&] { return status(host, "x.example", "/match/1") == 200; }))
                << m_deployment.logs();
            ASSERT_TRUE(eventually([&] { return status(host, "y.example", "/fetch/1") == 200; }))
                << m_deployment.logs();
        }
    }

    unsigned status(std::size_t host, const std::string& authority, const std::string& path) {
        const auto response = m_deployment.request(host, authority, path);
        return response ? response->status : 0;
    }

    /** @return connections to a host that have carried a request each; fewer if one was not answered */
    std::vector<std::unique_ptr<testing_support::persistent_connection>>
    open_used_connections(std::size_t host, std::size_t count) {
        std::vector<std::unique_ptr<testing_support::persistent_connection>> connections;
        for (std::size_t opened = 0; opened < count; ++opened) {
            auto connection =
                std::make_unique<testing_support::persistent_connection>(m_deployment.callers_address(host));
            if (!m_deployment.request(host, "x.example", "/match/1", 2'000, connection.get())) {
                break;
            }
            connections.push_back(std::move(connection));
        }
        return connections;
    }

    unsigned runs(const std::string& service) const {
        const auto& replicas = m_replicas.at(service);
        return std::accumulate(
            replicas.begin(), replicas.end(), 0U,
            [](unsigned sum, const stand_in_replica* replica) { return sum + replica->runs; });
    }
};

TEST_F(platform_deployment_test, bootstraps_without_an_operator_and_merges_the_greatest_records) {
    const auto response = m_deployment.request(4, "x.example", "/match/1");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200U);
    EXPECT_EQ(response->body.size(), 64U);
    EXPECT_EQ(response->body.substr(0, 16), std::string(16, 'c'))
        << "the merged records begin with the greatest one";
    const std::string stamps = response->fields.at("x-tamarackstand-shard-stamps");
    EXPECT_EQ(std::count(stamps.begin(), stamps.end(), ','), 2);
    EXPECT_EQ(response->fields.at("x-tamarackstand-shards-missing"), "0");
    EXPECT_TRUE(eventually([&] { return m_deployment.directory(1).size() == m_deployment.hosts(); }));
}

TEST_F(platform_deployment_test, returns_one_replicas_answer_unchanged_and_says_404_without_a_route) {
    const auto response = m_deployment.request(0, "y.example", "/fetch/1");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200U);
    EXPECT_EQ(response->fields.count("x-tamarackstand-response-stamp"), 1U);
    EXPECT_EQ(m_deployment.request(0, "y.example", "/other/1")->status, 404U);
    EXPECT_EQ(m_deployment.request(0, "z.example", "/fetch/1")->status, 404U);
}

TEST_F(platform_deployment_test, reads_back_the_configuration_and_ignores_older_or_damaged_ones) {
    EXPECT_EQ(m_deployment.submit(document(5, "stocks")), 200U);
    EXPECT_EQ(m_deployment.submit(document(4)), 200U)
        << "an older version is acknowledged and changes nothing";
    EXPECT_EQ(m_deployment.submit(document(5)), 200U)
        << "other content with the same version changes nothing";
    EXPECT_EQ(m_deployment.submit(document(6, "nobody")), 400U);
    EXPECT_EQ(m_deployment.submit(document(7).substr(0, 300)), 400U);
    EXPECT_EQ(m_deployment.describe()->body, document(5, "stocks"));
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        EXPECT_TRUE(eventually([&] {
            const unsigned before = runs("stocks");
            status(host, "y.example", "/fetch/1");
            return runs("stocks") > before;
        })) << host;
    }
}

TEST_F(platform_deployment_test, a_draining_and_an_ended_replica_get_nothing_new_from_any_host) {
    stand_in_replica& drained = *m_replicas["orders"][0];
    EXPECT_EQ(m_deployment.send_heartbeat(drained, 2, "draining"), 200U);
    stand_in_replica& ended = *m_replicas["stocks"][0];
    EXPECT_EQ(m_deployment.deregister(ended, 1), 200U);
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        EXPECT_TRUE(eventually([&] {
            const unsigned before = drained.runs;
            for (int request = 0; request < 6; ++request) {
                m_deployment.request(host, "y.example", "/fetch/1");
            }
            return drained.runs == before;
        })) << host;
    }
    EXPECT_EQ(ended.runs, 0U);
}

TEST_F(platform_deployment_test, a_failing_replica_is_replaced_by_another_and_a_wrong_one_runs_nothing) {
    stand_in_replica& failing = *m_replicas["orders"][0];
    failing.fails = true;
    unsigned good = 0;
    for (int request = 0; request < 10; ++request) {
        good += m_deployment.request(1, "y.example", "/fetch/1")->status == 200U ? 1 : 0;
    }
    EXPECT_EQ(good, 10U);
}

TEST_F(platform_deployment_test, malformed_heartbeats_register_no_replica) {
    stand_in_replica& forged = m_deployment.add_replica("orders");
    forged.service = "";
    EXPECT_EQ(m_deployment.send_heartbeat(forged, 0), 400U);
    forged.service = "orders";
    EXPECT_EQ(m_deployment.send_heartbeat(forged, 0, "happy"), 400U);
    for (int request = 0; request < 10; ++request) {
        m_deployment.request(0, "y.example", "/fetch/1");
    }
    EXPECT_EQ(forged.runs, 0U);
}

TEST_F(platform_deployment_test, each_host_shuts_down_on_sigterm_without_failing_requests) {
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        m_deployment.process(host).send_signal(SIGTERM);
        unsigned refused = 0;
        for (int request = 0; request < 5; ++request) {
            const auto response = m_deployment.request(host, "y.example", "/fetch/1");
            refused += !response || response->status != 200U ? 1 : 0;
        }
        EXPECT_EQ(refused, 0U) << host;
        EXPECT_FALSE(m_deployment.ready(host));
        const auto end = m_deployment.stop_host(host);
        EXPECT_EQ(end.exit_code, 0) << m_deployment.output(host);
        m_deployment.start_host(host);
        EXPECT_TRUE(eventually([&] { return status(host, "y.example", "/fetch/1") == 200; }));
    }
}

/** When a host is asked to stop, and when callers use their open connections again. */
struct shutdown_pattern {
    std::size_t host = 0;
    std::vector<std::chrono::milliseconds>
        signals;                           ///< times of SIGTERM; the second one shortens the shutdown
    std::chrono::milliseconds first_use{}; ///< after the first signal
};

/**
 * Callers keep their connections open during the whole shutdown, and each one uses its connection again at
 * another moment around the end of it. A request that a host has read must be answered; a host that no longer
 * reads closes the connection.
 */
TEST_F(platform_deployment_test, a_shutdown_cuts_off_no_request_on_a_connection_that_stays_open) {
    constexpr std::size_t callers = 40;
    constexpr auto between_callers = std::chrono::milliseconds{20};
    using std::chrono::milliseconds;
    const std::vector<shutdown_pattern> patterns{
        {1, {milliseconds{0}}, milliseconds{3'040}},
        {4, {milliseconds{0}, milliseconds{100}}, milliseconds{140}},
    };
    for (stand_in_replica* replica : m_replicas["orders"]) {
        replica->work_ms = 250;
    }
    for (const shutdown_pattern& pattern : patterns) {
        const std::size_t host = pattern.host;
        const auto connections = open_used_connections(host, callers);
        ASSERT_EQ(connections.size(), callers);
        const auto begun = std::chrono::steady_clock::now();
        std::vector<std::thread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                std::this_thread::sleep_until(begun + pattern.first_use + caller * between_callers);
                m_deployment.request(host, "y.example", "/fetch/1", 2'000, connections[caller].get());
            });
        }
        for (const milliseconds signal : pattern.signals) {
            std::this_thread::sleep_until(begun + signal);
            m_deployment.process(host).send_signal(SIGTERM);
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        m_deployment.stop_host(host);
        EXPECT_EQ(m_deployment.requests_run_without_answer(), std::vector<std::string>{}) << host;
        m_deployment.start_host(host);
        EXPECT_TRUE(eventually([&] { return status(host, "y.example", "/fetch/1") == 200; }));
    }
}

/**
 * Guards against a request that is read late in a shutdown, while another one keeps the host running, and is
 * cut off at the drain limit.
 */
TEST_F(platform_deployment_test, a_shutdown_reads_no_request_that_it_may_have_to_cut_off) {
    constexpr std::size_t callers = 8;
    constexpr std::size_t host = 1;
    constexpr auto between_callers = std::chrono::milliseconds{50};
    constexpr auto long_request_at = std::chrono::milliseconds{2'900};
    constexpr auto first_late_use = std::chrono::milliseconds{3'700};
    for (stand_in_replica* replica : m_replicas["orders"]) {
        replica->work_ms = 1'700;
    }
    const auto connections = open_used_connections(host, callers + 1);
    ASSERT_EQ(connections.size(), callers + 1);
    const auto begun = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller <= callers; ++caller) {
        threads.emplace_back([&, caller] {
            const bool late = caller < callers;
            const std::chrono::milliseconds use_at =
                late ? first_late_use + static_cast<int>(caller) * between_callers : long_request_at;
            std::this_thread::sleep_until(begun + use_at);
            m_deployment.request(host, "y.example", "/fetch/1", 2'400, connections[caller].get());
        });
    }
    m_deployment.process(host).send_signal(SIGTERM);
    for (std::thread& thread : threads) {
        thread.join();
    }
    m_deployment.stop_host(host);
    EXPECT_EQ(m_deployment.requests_run_without_answer(), std::vector<std::string>{});
}

TEST_F(platform_deployment_test, restores_its_configuration_after_all_hosts_were_killed) {
    EXPECT_EQ(m_deployment.submit(document(9, "stocks")), 200U);
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        m_deployment.kill_host(host);
    }
    for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
        m_deployment.start_host(host);
    }
    EXPECT_EQ(m_deployment.describe()->body, document(9, "stocks"));
    EXPECT_TRUE(eventually([&] { return status(4, "x.example", "/match/1") == 200; }));
}

/** The three kinds of failed requests in docs/OPERATIONS.md can each be explained with the documented
 * command. */
TEST_F(platform_deployment_test, the_log_leads_from_a_failed_request_to_its_cause) {
    for (stand_in_replica* replica : m_replicas["s2"]) {
        replica->work_ms = 600;
    }
    const auto partial = m_deployment.request(1, "x.example", "/match/1");
    ASSERT_TRUE(partial);
    EXPECT_EQ(partial->fields.at("x-tamarackstand-shards-missing"), "1");
    const std::string late = m_deployment.explain(1, m_deployment.last_request());
    EXPECT_NE(late.find("covered=2"), std::string::npos) << late;
    EXPECT_NE(late.find("step=sent service=s2"), std::string::npos) << late;
    EXPECT_EQ(late.find("step=reply service=s2"), std::string::npos) << late;

    for (stand_in_replica* replica : m_replicas["orders"]) {
        EXPECT_EQ(m_deployment.deregister(*replica, 1), 200U);
    }
    EXPECT_TRUE(eventually([&] { return m_deployment.request(1, "y.example", "/fetch/1")->status == 503U; }));
    const std::string refused = m_deployment.explain(1, m_deployment.last_request());
    EXPECT_NE(refused.find("outcome=not_run reason=no_target"), std::string::npos) << refused;

    for (stand_in_replica* replica : m_replicas["stocks"]) {
        replica->fails = true;
    }
    EXPECT_EQ(m_deployment.submit(document(8, "stocks")), 200U);
    EXPECT_TRUE(eventually([&] { return m_deployment.request(1, "y.example", "/fetch/1")->status == 500U; }));
    const std::string failed = m_deployment.explain(1, m_deployment.last_request());
    EXPECT_NE(failed.find("reason=targets_failed"), std::string::npos) << failed;
    EXPECT_NE(failed.find("step=reply service=stocks"), std::string::npos) << failed;
}

TEST_F(platform_deployment_test, reloads_settings_on_sighup_and_keeps_serving) {
    m_deployment.process(2).send_signal(SIGHUP);
    EXPECT_TRUE(
        eventually([&] { return m_deployment.output(2).find("settings_unchanged") != std::string::npos; }));
    EXPECT_EQ(status(2, "y.example", "/fetch/1"), 200U);
}

} // namespace
} // namespace tamarack::platform_integration
