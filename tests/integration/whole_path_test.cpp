#include "cluster.h"

#include "support/net/http_call.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace tamarack::integration {
namespace {

std::string now_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

unsigned runs_of_key(const cluster& running, const std::string& key) {
    unsigned runs = 0;
    for (const std::string target : {"s1-r0", "s1-r1", "s2-r0", "s2-r1"}) {
        runs += running.target_record(target)["keys"].get(key, 0U).asUInt();
    }
    return runs;
}

TEST(whole_path, answers_with_ticket_snapshot_and_coverage) {
    cluster running;
    running.start_serving();
    const auto response = running.query("host-b", "lot 17");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200U) << response->body;
    const Json::Value answer = to_json(response->body);
    EXPECT_EQ(answer["outcome"], "answered");
    EXPECT_EQ(answer["request_id"], "test-lot 17");
    EXPECT_EQ(answer["ticket"].asUInt(), 1U);
    EXPECT_EQ(answer["version"], "v1");
    ASSERT_EQ(answer["covered"].size(), 2U);
    for (const Json::Value& part : answer["covered"]) {
        EXPECT_EQ(part["body"], part["shard"].asString() + "/v1: lot 17");
    }
    EXPECT_EQ(answer["missing"].size(), 0U);
}

TEST(whole_path, names_hosts_in_the_directory_that_answer) {
    cluster running;
    running.start_serving();
    testing_support::plain_request request;
    request.path = "/v1/entries?service=parts&data_center=dc-a&caller=7";
    const auto response =
        testing_support::call_and_wait(running.callers("host-a"), request, testing_support::test_timeout);
    ASSERT_TRUE(response);
    const Json::Value directory = to_json(response->body);
    EXPECT_EQ(directory["service"], "parts");
    EXPECT_EQ(directory["ticket"].asUInt(), 1U);
    EXPECT_GT(directory["keep_for_ms"].asInt(), 0);
    ASSERT_GE(directory["addresses"].size(), 1U);
}

TEST(whole_path, runs_a_non_idempotent_request_once) {
    cluster running;
    running.start_serving();
    const testing_support::header_fields fields{{"Idempotency-Key", "notice-1"},
                                                {"Idempotency-Issued-At", now_ms()}};
    const auto first = running.query("host-a", "withdraw lot 17", fields, "s1");
    ASSERT_TRUE(first);
    EXPECT_EQ(to_json(first->body)["outcome"], "answered") << first->body;
    const auto again = running.query("host-c", "withdraw lot 17", fields, "s1");
    ASSERT_TRUE(again);
    EXPECT_EQ(to_json(again->body)["outcome"], "answered") << again->body;
    EXPECT_EQ(to_json(again->body)["covered"], to_json(first->body)["covered"]);
    EXPECT_EQ(runs_of_key(running, "notice-1"), 1U);
}

TEST(whole_path, refuses_a_key_with_other_content) {
    cluster running;
    running.start_serving();
    const testing_support::header_fields fields{{"Idempotency-Key", "notice-2"},
                                                {"Idempotency-Issued-At", now_ms()}};
    ASSERT_TRUE(running.query("host-a", "one ring", fields, "s1"));
    const auto other = running.query("host-b", "two rings", fields, "s1");
    ASSERT_TRUE(other);
    EXPECT_EQ(other->status, 409U) << other->body;
    EXPECT_EQ(to_json(other->body)["reason"], "key_conflict");
    EXPECT_EQ(runs_of_key(running, "notice-2"), 1U);
}

TEST(whole_path, works_again_after_each_kind_of_process_was_killed) {
    cluster_options options;
    options.entry_hosts = {"entry-a"};
    cluster running{options};
    running.start_serving();
    for (const std::string target : {"s1-r0", "s1-r1"}) {
        running.processes().kill(target);
    }
    running.start_target("s1", 0);
    running.start_target("s1", 1);
    running.wait_until_serving("host-a");
    running.processes().kill("entry-a");
    running.start_host("entry-a");
    running.wait_until_serving("entry-a");
    for (const std::string host : {"host-a", "host-b", "host-c"}) {
        running.processes().kill(host);
        running.start_host(host);
        running.wait_until_serving(host);
    }
    EXPECT_EQ(running.operators_get("host-a", "/v1/state")["ticket"].asUInt(), 1U);
}

TEST(whole_path, comes_back_with_its_ticket_after_all_hosts_were_killed) {
    cluster running;
    running.start_serving();
    for (const std::string& host : running.hosts()) {
        running.processes().kill(host);
    }
    for (const std::string& host : running.hosts()) {
        running.start_host(host);
    }
    for (const std::string shard : {"s1", "s2"}) {
        running.processes().kill(cluster::target_name(shard, 0));
        running.start_target(shard, 0);
    }
    running.wait_until_serving("host-b");
    EXPECT_EQ(to_json(running.query("host-b", "again")->body)["ticket"].asUInt(), 1U);
}

TEST(whole_path, drains_a_target_without_failing_a_request) {
    cluster running;
    running.start_serving();
    running.processes().at("s1-r0").send_signal(SIGTERM);
    unsigned answered = 0;
    std::optional<testing_support::process_end> end;
    while (!end || answered < 50U) {
        const auto response = running.query("host-a", "during the drain");
        ASSERT_TRUE(response);
        ASSERT_EQ(to_json(response->body)["outcome"], "answered") << response->body;
        ++answered;
        end = running.processes().at("s1-r0").poll();
    }
    EXPECT_EQ(end->exit_code, 0);
}

} // namespace
} // namespace tamarack::integration
