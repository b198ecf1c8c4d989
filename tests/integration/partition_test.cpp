#include "cluster.h"

#include <gtest/gtest.h>

#include <string>

namespace tamarack::integration {
namespace {

std::string reason_at(const cluster& running, const std::string& host) {
    const auto response = running.query(host, "under a partition");
    return response ? to_json(response->body)["reason"].asString() : "no answer";
}

bool submits(cluster& running, unsigned number) {
    const std::string name = "ticket-" + std::to_string(number) + ".json";
    const std::string file = running.processes().folder().write(name, running.ticket_text(number));
    return running.run_tool({"ticket", "submit", file}).exit_code == 0;
}

TEST(partition, an_isolated_control_host_stops_answering_and_comes_back) {
    cluster_options options;
    options.through_proxy = true;
    cluster running{options};
    running.start_serving();
    const std::string leader = running.operators_get("host-a", "/v1/state")["leader"].asString();
    const std::string cut = leader.empty() ? "host-a" : leader;
    const std::string other = cut == "host-b" ? "host-c" : "host-b";
    running.isolate(cut, true);
    EXPECT_TRUE(eventually([&] { return reason_at(running, cut) == "no_lease"; }))
        << running.processes().logs();
    EXPECT_TRUE(eventually([&] { return submits(running, 2); })) << running.processes().logs();
    running.wait_until_serving(other);
    EXPECT_EQ(reason_at(running, cut), "no_lease");
    running.isolate(cut, false);
    running.wait_until_serving(cut);
    EXPECT_EQ(to_json(running.query(cut, "healed")->body)["ticket"].asUInt(), 2U);
}

bool serves_ticket(const cluster& running, const std::string& host, unsigned number) {
    const auto response = running.query(host, "which ticket?");
    const Json::Value answer = response ? to_json(response->body) : Json::Value{};
    return answer["outcome"] == "answered" && answer["ticket"].asUInt() == number;
}

/** Sets the same faults on the routes between all control hosts. */
void set_all_faults(const cluster& running, const Json::Value& faults) {
    for (const std::string& from : running.hosts()) {
        for (const std::string& to : running.hosts()) {
            if (from != to) {
                running.set_fault(from, to, faults);
            }
        }
    }
}

void expect_ticket_everywhere(cluster& running, unsigned number) {
    EXPECT_TRUE(eventually([&] { return submits(running, number); })) << running.processes().logs();
    for (const std::string& host : running.hosts()) {
        EXPECT_TRUE(eventually([&] { return serves_ticket(running, host, number); }))
            << host << running.processes().logs();
    }
}

TEST(partition, a_leader_that_receives_no_messages_steps_down) {
    cluster_options options;
    options.through_proxy = true;
    cluster running{options};
    running.start_serving();
    const std::string leader = running.operators_get("host-a", "/v1/state")["leader"].asString();
    Json::Value fault;
    fault["cut_requests"] = true;
    for (const std::string& other : running.hosts()) {
        if (other != leader) {
            running.set_fault(other, leader, fault);
        }
    }
    EXPECT_TRUE(eventually([&] { return submits(running, 2); })) << running.processes().logs();
    for (const std::string& other : running.hosts()) {
        if (other != leader) {
            EXPECT_TRUE(eventually([&] { return serves_ticket(running, other, 2); })) << other;
        }
    }
    running.isolate(leader, false);
    EXPECT_TRUE(eventually([&] { return serves_ticket(running, leader, 2); })) << running.processes().logs();
}

TEST(partition, connections_between_hosts_that_go_silent_are_replaced) {
    cluster_options options;
    options.through_proxy = true;
    cluster running{options};
    running.start_serving();
    Json::Value silence;
    silence["silence_open"] = true;
    set_all_faults(running, silence);
    expect_ticket_everywhere(running, 2);
}

TEST(partition, slow_links_between_hosts_only_add_latency) {
    cluster_options options;
    options.through_proxy = true;
    cluster running{options};
    running.start_serving();
    Json::Value slow;
    slow["delay_ms"] = 30;
    set_all_faults(running, slow);
    expect_ticket_everywhere(running, 2);
}

TEST(partition, without_a_majority_no_host_answers_and_no_ticket_is_accepted) {
    cluster running;
    running.start_serving();
    running.processes().kill("host-b");
    running.processes().kill("host-c");
    EXPECT_TRUE(eventually([&] { return reason_at(running, "host-a") == "no_lease"; }));
    const std::string file = running.processes().folder().write("ticket-2.json", running.ticket_text(2));
    const tool_result alone = running.run_tool({"ticket", "submit", "--timeout-ms", "1500", file});
    EXPECT_NE(alone.exit_code, 0) << alone.output;
    running.start_host("host-b");
    running.wait_until_serving("host-a");
    EXPECT_TRUE(
        eventually([&] { return running.operators_get("host-a", "/v1/state")["ticket"].asUInt() == 1U; }));
}

TEST(partition, silent_connections_to_targets_do_not_stop_queries) {
    cluster running;
    running.start_serving();
    for (const std::string target : {"s1-r0", "s1-r1", "s2-r0", "s2-r1"}) {
        Json::Value changes;
        changes["silent"] = true;
        running.set_target(target, changes);
    }
    running.wait_until_serving("host-a");
    running.wait_until_serving("host-b");
}

} // namespace
} // namespace tamarack::integration
