#include <tamarack_telemetry/tamarack_telemetry.h>

#include <gtest/gtest.h>

#include <string>

namespace tamarack {
namespace {

std::string logged(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    start_state_log(host_id{"host-a"});
    ::testing::internal::CaptureStdout();
    log_state_change(level, event, ticket_number{7}, fields);
    return ::testing::internal::GetCapturedStdout();
}

TEST(state_log, writes_one_structured_line_on_standard_output) {
    const std::string line = logged(log_level::info, "leader_elected", {{"term", "3"}, {"leader", "host-b"}});
    EXPECT_TRUE(line.ends_with(" INFO host-a leader_elected ticket=7 term=3 leader=host-b\n")) << line;
    EXPECT_EQ(line.find('T'), 10U) << line;
}

TEST(state_log, names_the_level) {
    EXPECT_NE(logged(log_level::warning, "lease_lost", {}).find(" WARNING "), std::string::npos);
    EXPECT_NE(logged(log_level::error, "journal_damaged", {}).find(" ERROR "), std::string::npos);
}

TEST(state_log, keeps_untrusted_values_on_one_line) {
    const std::string line =
        logged(log_level::info, "target_refused", {{"name", "a \"b\"\nfake ticket=9\x01%v"}});
    EXPECT_TRUE(line.ends_with(R"(name="a \"b\"\nfake ticket=9\x01%v")"
                               "\n"))
        << line;
}

} // namespace
} // namespace tamarack
