#include "cluster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

namespace tamarack::integration {
namespace {

using ::testing::HasSubstr;

tool_result run_alone(const std::vector<std::string>& arguments) {
    const temporary_folder folder;
    testing_support::child_process tool{TAMARACK_TOOL, arguments, (folder.path() / "tool").string()};
    const auto end = tool.wait(testing_support::test_timeout);
    return {end ? end->exit_code : -1, tool.output(), tool.errors()};
}

TEST(tool, prints_help) {
    const tool_result general = run_alone({"--help"});
    EXPECT_EQ(general.exit_code, 0);
    for (const std::string command : {"bootstrap", "voters", "state", "drain", "ticket submit", "ticket show",
                                      "ticket history", "entries", "query"}) {
        EXPECT_THAT(general.output, HasSubstr("  " + command));
        std::vector<std::string> words{"--help"};
        std::istringstream text{command};
        for (std::string word; text >> word;) {
            words.push_back(word);
        }
        const tool_result help = run_alone(words);
        EXPECT_EQ(help.exit_code, 0) << command;
        EXPECT_THAT(help.output, HasSubstr("Usage: tamarackctl [options] " + command));
    }
}

TEST(tool, refuses_wrong_usage) {
    for (const std::vector<std::string>& words :
         {std::vector<std::string>{},
          {"fly"},
          {"ticket"},
          {"ticket", "submit"},
          {"state", "extra"},
          {"state", "--key", "k"},
          {"state", "--nonsense"},
          {"query", "parts"},
          {"ticket", "submit", "/no/such/file", "--operators", "127.0.0.1:1"}}) {
        EXPECT_EQ(run_alone(words).exit_code, 2) << ::testing::PrintToString(words);
    }
}

TEST(tool, reports_that_no_host_can_be_reached) {
    const testing_support::port_reservation unused_port;
    const std::string address = "127.0.0.1:" + std::to_string(unused_port.port());
    const tool_result result = run_alone({"ticket", "show", "--operators", address, "--timeout-ms", "300"});
    EXPECT_EQ(result.exit_code, 3);
    EXPECT_THAT(result.errors, HasSubstr(address));
    const tool_result json =
        run_alone({"ticket", "show", "--json", "--operators", address, "--timeout-ms", "300"});
    EXPECT_EQ(to_json(json.errors)["error"], "unavailable");
}

TEST(tool, submits_and_shows_tickets_through_any_host) {
    cluster running;
    running.start_serving();
    const auto submit = [&](const std::string& text) {
        const std::string file = running.processes().folder().write("ticket.json", text);
        return running.run_tool({"ticket", "submit", "--json", file});
    };
    const tool_result resent = submit(running.ticket_text(1));
    EXPECT_EQ(resent.exit_code, 0);
    EXPECT_EQ(to_json(resent.output)["verdict"], "resent") << resent.output;
    Json::Value changed = to_json(running.ticket_text(1));
    changed["services"][0]["least_coverage"] = 0.25;
    const tool_result conflict = submit(to_text(changed));
    EXPECT_EQ(conflict.exit_code, 1);
    EXPECT_EQ(to_json(conflict.output)["verdict"], "conflict") << conflict.output;
    changed["number"] = 2;
    changed["services"][0]["least_coverage"] = 7;
    const tool_result refused = submit(to_text(changed));
    EXPECT_EQ(refused.exit_code, 1);
    EXPECT_THAT(to_json(refused.output)["faults"][0]["path"].asString(), HasSubstr("least_coverage"));
    EXPECT_EQ(submit(running.ticket_text(5)).exit_code, 0);
    EXPECT_EQ(to_json(submit(running.ticket_text(4)).output)["verdict"], "stale");
    EXPECT_TRUE(eventually([&] {
        const Json::Value shown = to_json(running.run_tool({"ticket", "show", "--json"}).output);
        return shown["number"].asUInt() == 5U && shown["in_force"].asBool();
    }));
    const Json::Value history = to_json(running.run_tool({"ticket", "history", "--json"}).output);
    EXPECT_EQ(history["tickets"].size(), 2U) << to_text(history);
    EXPECT_EQ(running.run_tool({"bootstrap", "host-a"}).exit_code, 1);
}

TEST(tool, shows_state_and_entries_and_sends_queries) {
    cluster running;
    running.start_serving();
    const tool_result state = running.run_tool({"state"});
    EXPECT_EQ(state.exit_code, 0);
    EXPECT_THAT(state.output, HasSubstr("host-b"));
    const tool_result entries = running.run_tool({"entries", "parts"});
    EXPECT_EQ(entries.exit_code, 0);
    EXPECT_THAT(entries.output, HasSubstr("127.0.0.1:"));
    EXPECT_EQ(running.run_tool({"entries", "no-such-service"}).exit_code, 1);
    const tool_result answered = running.run_tool({"query", "parts", "--body", "lot 3"});
    EXPECT_EQ(answered.exit_code, 0) << answered.output << answered.errors;
    EXPECT_THAT(answered.output, HasSubstr("s1: s1/v1: lot 3"));
    running.processes().kill("s2-r0");
    running.processes().kill("s2-r1");
    EXPECT_TRUE(eventually([&] {
        return running.run_tool({"query", "parts", "--body", "lot 4", "--deadline-ms", "500"}).exit_code == 6;
    }));
}

TEST(tool, drains_a_host) {
    cluster running;
    running.start_serving();
    const std::string address = running.operators("host-c");
    EXPECT_EQ(run_alone({"drain", "--operators", address}).exit_code, 0);
    const auto end = running.processes().at("host-c").wait(testing_support::test_timeout);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exit_code, 0);
    running.wait_until_serving("host-a");
}

} // namespace
} // namespace tamarack::integration
