#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_query/tamarack_query.h>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace tamarack::integration {
namespace {

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::string operations_page() {
    return read_file(std::filesystem::path{TAMARACK_DOCS} / "OPERATIONS.md");
}

bool has_row(const std::string& page, std::string_view name) {
    return page.find("\n| `" + std::string{name} + "` |") != std::string::npos;
}

TEST(operations_page, lists_every_reason) {
    const std::string page = operations_page();
    for (const auto& [reason, name] : name_table<refusal_reason>::entries) {
        EXPECT_TRUE(has_row(page, name)) << name;
    }
}

TEST(operations_page, lists_every_reason_of_a_request_that_is_passed_on) {
    const std::string page = operations_page();
    for (const auto& [reason, name] : name_table<forward_reason>::entries) {
        EXPECT_TRUE(has_row(page, name)) << name;
    }
}

TEST(operations_page, lists_every_log_event) {
    const std::string page = operations_page();
    const std::regex call{R"re(log_state_change\([^"]*"([a-z_]+)")re"};
    const auto sources = std::filesystem::path{TAMARACK_DOCS}.parent_path() / "apps" / "tamarackd";
    std::set<std::string> events;
    for (const auto& entry : std::filesystem::recursive_directory_iterator{sources}) {
        const std::string text = entry.is_regular_file() ? read_file(entry.path()) : std::string{};
        for (std::sregex_iterator found{text.begin(), text.end(), call}; found != std::sregex_iterator{};
             ++found) {
            events.insert((*found)[1]);
        }
    }
    EXPECT_GE(events.size(), 9U);
    for (const std::string& event : events) {
        EXPECT_TRUE(has_row(page, event)) << event;
    }
}

} // namespace
} // namespace tamarack::integration
