#include "support/process/child_process.h"
#include "support/process/process_group.h"
#include "support/temporary_folder.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace tamarack::integration {
namespace {

using ::testing::HasSubstr;
using testing_support::child_process;

TEST(daemon_settings, reports_all_mistakes_at_once_and_exits_with_2) {
    const temporary_folder folder;
    const std::string file = folder.write("bad.ini", R"([host]
name = host-a
role = both
data_folder = /no/such/folder
[listen]
callers = 127.0.0.1:9100
operators = 127.0.0.1:9100
hosts = everywhere
[times]
lease_length = 3
flux = 8ms
)");
    for (const std::string extra : {"--check-settings", ""}) {
        std::vector<std::string> arguments{"--settings", file};
        if (!extra.empty()) {
            arguments.push_back(extra);
        }
        child_process daemon{TAMARACK_DAEMON, arguments, (folder.path() / "daemon").string()};
        const auto end = daemon.wait(testing_support::test_timeout);
        ASSERT_TRUE(end);
        EXPECT_EQ(end->exit_code, 2);
        for (const std::string key :
             {"data_center", "data_folder", "operators", "hosts", "lease_length", "flux", "[seeds]"}) {
            EXPECT_THAT(daemon.errors(), HasSubstr(key));
        }
    }
}

TEST(daemon_settings, names_a_file_that_is_missing) {
    const temporary_folder folder;
    child_process daemon{
        TAMARACK_DAEMON, {"--settings", "/no/such.ini"}, (folder.path() / "daemon").string()};
    const auto end = daemon.wait(testing_support::test_timeout);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exit_code, 2);
    EXPECT_THAT(daemon.errors(), HasSubstr("/no/such.ini"));
}

} // namespace
} // namespace tamarack::integration
