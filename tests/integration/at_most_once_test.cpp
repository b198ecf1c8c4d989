#include "cluster.h"

#include <gtest/gtest.h>
#include <tamarack_base/tamarack_base.h>

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::integration {
namespace {

std::string now_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

testing_support::header_fields fields_of(const std::string& key) {
    return {{"Idempotency-Key", key}, {"Idempotency-Issued-At", now_ms()}};
}

std::string outcome_of(const std::optional<testing_support::plain_response>& response) {
    return response ? to_json(response->body)["outcome"].asString() : "no answer";
}

unsigned runs_of(const cluster& running, const std::string& key) {
    unsigned runs = 0;
    for (const std::string target : {"s1-r0", "s1-r1"}) {
        runs += running.target_record(target)["keys"].get(key, 0U).asUInt();
    }
    return runs;
}

TEST(at_most_once, concurrent_resends_to_all_hosts_run_a_request_once) {
    cluster running;
    running.start_serving();
    for (int round = 0; round < 5; ++round) {
        const std::string key = "quote-" + std::to_string(round);
        const auto fields = fields_of(key);
        std::vector<std::thread> senders;
        senders.reserve(6);
        for (int sender = 0; sender < 6; ++sender) {
            senders.emplace_back([&running, &fields, sender] {
                const std::string host = running.hosts()[static_cast<std::size_t>(sender) % 3];
                running.query(host, "quote two rings", fields, "s1");
            });
        }
        for (std::thread& sender : senders) {
            sender.join();
        }
        EXPECT_TRUE(eventually([&] {
            return outcome_of(running.query("host-b", "quote two rings", fields, "s1")) == "answered";
        }));
        EXPECT_EQ(runs_of(running, key), 1U);
    }
}

TEST(at_most_once, never_runs_again_after_the_target_was_lost) {
    cluster_options options;
    options.replicas = 1;
    options.target_arguments = {"--service-ms", "1500"};
    cluster running{options};
    running.start_hosts();
    running.bootstrap();
    running.start_targets();
    running.wait_until_serving("host-a");
    const auto fields = fields_of("quote-lost");
    std::string outcome;
    std::thread sender{
        [&] { outcome = outcome_of(running.query("host-a", "quote one ring", fields, "s1")); }};
    EXPECT_TRUE(
        eventually([&] { return running.target_record("s1-r0")["keys"]["quote-lost"].asUInt() == 1U; }));
    running.processes().kill("s1-r0");
    sender.join();
    EXPECT_EQ(outcome, "unknown");
    running.start_target("s1", 0);
    running.wait_until_serving("host-b");
    for (const std::string& host : running.hosts()) {
        const auto again = running.query(host, "quote one ring", fields, "s1");
        EXPECT_EQ(outcome_of(again), "unknown") << again->body;
    }
    EXPECT_EQ(running.target_record("s1-r0")["keys"].get("quote-lost", 0U).asUInt(), 0U);
}

TEST(at_most_once, never_runs_again_after_the_host_was_killed) {
    cluster_options options;
    options.target_arguments = {"--service-ms", "1500"};
    cluster running{options};
    running.start_hosts();
    running.bootstrap();
    running.start_targets();
    running.wait_until_serving("host-a");
    const auto fields = fields_of("quote-killed");
    std::thread sender{[&] { running.query("host-a", "quote one ring", fields, "s1"); }};
    EXPECT_TRUE(eventually([&] { return runs_of(running, "quote-killed") == 1U; }));
    running.processes().kill("host-a");
    sender.join();
    running.start_host("host-a");
    running.wait_until_serving("host-a");
    for (const std::string& host : running.hosts()) {
        const std::string outcome = outcome_of(running.query(host, "quote one ring", fields, "s1"));
        EXPECT_NE(outcome, "answered") << host;
    }
    EXPECT_EQ(runs_of(running, "quote-killed"), 1U);
}

/** Outcomes that the hosts reported to callers, by key. */
struct observed_outcomes {
    std::mutex mutex;
    std::map<std::string, std::set<std::string>> by_key;

    void add(const std::string& key, const std::string& outcome) {
        const std::lock_guard lock{mutex};
        by_key[key].insert(outcome);
    }
};

/** Sends several requests, each to all hosts concurrently, and kills one host while they run. */
void send_round_and_kill(cluster& running, int round, const std::string& killed,
                         observed_outcomes& observed) {
    std::vector<std::thread> senders;
    senders.reserve(15);
    for (int number = 0; number < 5; ++number) {
        const std::string key = "round-" + std::to_string(round) + "-" + std::to_string(number);
        const auto fields = fields_of(key);
        for (const std::string& host : running.hosts()) {
            senders.emplace_back([&observed, key, fields, address = running.callers(host)] {
                observed.add(key, outcome_of(cluster::query_at(address, "notice " + key, fields, "s1")));
            });
        }
    }
    running.processes().kill(killed);
    for (std::thread& sender : senders) {
        sender.join();
    }
    running.start_host(killed);
    for (const std::string& host : running.hosts()) {
        running.wait_until_serving(host);
    }
}

TEST(at_most_once, reports_true_outcomes_while_hosts_are_killed) {
    cluster running;
    running.start_serving();
    observed_outcomes observed;
    random_source random{2026};
    for (int round = 0; round < 4; ++round) {
        send_round_and_kill(running, round, running.hosts()[random.below(3)], observed);
    }
    ASSERT_EQ(observed.by_key.size(), 20U);
    for (const auto& [key, outcomes] : observed.by_key) {
        const unsigned runs = runs_of(running, key);
        EXPECT_LE(runs, 1U) << key;
        if (outcomes.count("answered") != 0) {
            EXPECT_EQ(runs, 1U) << key;
        }
        if (outcomes == std::set<std::string>{"not_run"}) {
            EXPECT_EQ(runs, 0U) << key;
        }
    }
}

} // namespace
} // namespace tamarack::integration
