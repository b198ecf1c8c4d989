#include "steady_callers.h"

#include <gtest/gtest.h>

#include <csignal>
#include <optional>
#include <sstream>

namespace tamarack::platform_integration {
namespace {

using namespace std::chrono_literals;

constexpr auto load_length = 9s;
constexpr auto caller_pause = 400ms;
constexpr std::size_t callers = 24;
constexpr auto restart_interval = 100ms;
constexpr auto kill_all_interval = 3s;
constexpr auto configuration_interval = 300ms;
constexpr std::size_t replicas_per_service = 3;

std::string document(unsigned version, const std::string& service) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":")" +
           service + R"(","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45},
  {"name":"stocks","health-check-path":"/health","max-connections":45}]})";
}

/** Nine hosts whose replicas fail every request. The load is low, so the allowance makes up most of the
 * budget. */
struct extra_load_test : ::testing::Test {
    platform_deployment m_deployment{3, 6};
    std::vector<stand_in_replica*> m_replicas;
    std::optional<steady_callers> m_callers;

    void SetUp() override {
        for (const char* service : {"orders", "stocks"}) {
            for (std::size_t count = 0; count < replicas_per_service; ++count) {
                m_replicas.push_back(&m_deployment.add_replica(service));
                m_replicas.back()->fails = true;
            }
        }
        m_deployment.count_requests_by([](const std::string&) {
            return std::vector<std::string>{"orders", "stocks"};
        });
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document(1, "orders")), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(host) == m_replicas.size(); }));
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); }));
        }
        m_callers.emplace(m_deployment, callers, caller_pause);
    }

    /** @return the extra-load lines of all hosts' logs */
    std::string extra_load_lines() {
        std::istringstream lines{m_deployment.logs()};
        std::string found;
        for (std::string line; std::getline(lines, line);) {
            found += line.find("extra_load ") == std::string::npos ? "" : line + "\n";
        }
        return found;
    }

    void expect_within_bound() {
        m_callers->stop();
        EXPECT_GT(m_deployment.extra_load("orders"), 0U) << "the load caused no extra exchange";
        for (const auto& breach : m_deployment.extra_load_breaches()) {
            ADD_FAILURE() << breach.service << " got " << breach.extra << " extra exchanges, "
                          << breach.allowed << " are allowed\n"
                          << extra_load_lines();
        }
    }
};

TEST_F(extra_load_test, stays_within_its_bound_while_hosts_are_killed_and_started_in_series) {
    const auto ends = std::chrono::steady_clock::now() + load_length;
    for (std::size_t host = 0; std::chrono::steady_clock::now() < ends; ++host) {
        m_deployment.kill_host(host % m_deployment.hosts());
        m_deployment.start_host(host % m_deployment.hosts());
        std::this_thread::sleep_for(restart_interval);
    }
    expect_within_bound();
}

TEST_F(extra_load_test, stays_within_its_bound_while_all_hosts_are_killed_and_started_at_once) {
    const auto ends = std::chrono::steady_clock::now() + load_length;
    while (std::chrono::steady_clock::now() < ends) {
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            m_deployment.process(host).send_signal(SIGKILL);
        }
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            m_deployment.kill_host(host);
            m_deployment.start_host(host);
        }
        std::this_thread::sleep_for(kill_all_interval);
    }
    expect_within_bound();
}

TEST_F(extra_load_test, stays_within_its_bound_while_configurations_alternate_the_service_of_a_route) {
    const auto ends = std::chrono::steady_clock::now() + load_length;
    for (unsigned version = 2; std::chrono::steady_clock::now() < ends; ++version) {
        m_deployment.submit(document(version, version % 2 == 0 ? "stocks" : "orders"));
        std::this_thread::sleep_for(configuration_interval);
    }
    expect_within_bound();
}

TEST_F(extra_load_test, stays_within_its_bound_when_replicas_pause_and_resume_reading) {
    for (stand_in_replica* replica : m_replicas) {
        replica->fails = false;
    }
    for (stand_in_replica* replica : m_replicas) {
        m_deployment.pause_reading(*replica);
    }
    std::this_thread::sleep_for(load_length);
    for (stand_in_replica* replica : m_replicas) {
        replica->fails = true;
        m_deployment.resume_reading(*replica);
    }
    std::this_thread::sleep_for(load_length);
    expect_within_bound();
}

} // namespace
} // namespace tamarack::platform_integration
