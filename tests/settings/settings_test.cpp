#include "support/temporary_folder.h"

#include <tamarack_settings/tamarack_settings.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <string>

namespace tamarack {
namespace {

using ::testing::AllOf;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::Field;
using ::testing::HasSubstr;

constexpr auto good_text = R"([host]
name = host-a
data_center = bzh-a
role = both
data_folder = /data
[listen]
callers = 127.0.0.1:7100
operators = 127.0.0.1:7200
hosts = 127.0.0.1:7300
[seeds]
host-a = 127.0.0.1:7300
host-b = 127.0.0.2:7300
[times]
lease_length = 2500ms
[limits]
body_bytes = 64KiB
queued_requests = 12
idle_connection = 2min
)";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

settings_mistakes mistakes_of(const std::string& text) {
    const auto read = parse_settings(text);
    return succeeded(read) ? settings_mistakes{} : error_of(read);
}

auto mistake_at(const std::string& section, const std::string& key) {
    return AllOf(Field(&settings_mistake::section, section), Field(&settings_mistake::key, key));
}

TEST(settings, switches_off_the_listed_mechanisms) {
    const auto read = parse_settings(std::string{good_text} + "[ablation]\noff = hedges,near_targets\n");
    ASSERT_TRUE(succeeded(read)) << describe(error_of(read).front());
    const mechanisms_in_use& mechanisms = value_of(read).forwarding.mechanisms;
    EXPECT_FALSE(mechanisms.has(forwarding_mechanism::hedges));
    EXPECT_FALSE(mechanisms.has(forwarding_mechanism::near_targets));
    EXPECT_TRUE(mechanisms.has(forwarding_mechanism::retries));
    EXPECT_EQ(mechanisms.off(), "hedges,near_targets");
}

/** Fails if deployments that don't ask for it get another routing between data centres. */
TEST(settings, routes_between_data_centers_by_a_fixed_cost_unless_set) {
    const auto by_default = parse_settings(good_text);
    ASSERT_TRUE(succeeded(by_default));
    EXPECT_EQ(value_of(by_default).forwarding.locality, locality_mode::fixed);
    const auto read = parse_settings(std::string{good_text} + "[forwarding]\nlocality = adaptive\n");
    ASSERT_TRUE(succeeded(read)) << describe(error_of(read).front());
    EXPECT_EQ(value_of(read).forwarding.locality, locality_mode::adaptive);
    EXPECT_THAT(mistakes_of(std::string{good_text} + "[forwarding]\nlocality = near\n"),
                ElementsAre(mistake_at("forwarding", "locality")));
}

TEST(settings, refuses_unknown_mechanisms_and_keys_of_the_ablation_section) {
    const auto unknown = mistakes_of(std::string{good_text} + "[ablation]\noff = hedges,hope\n");
    ASSERT_THAT(unknown, ElementsAre(mistake_at("ablation", "off")));
    EXPECT_THAT(describe(unknown.front()), AllOf(HasSubstr("hope"), HasSubstr("stall_detection")));
    EXPECT_THAT(mistakes_of(std::string{good_text} + "[ablation]\nhedges = off\n"),
                ElementsAre(mistake_at("ablation", "hedges")));
}

TEST(settings, reads_the_names_of_the_data_centers) {
    const auto read = parse_settings(std::string{good_text} + "[formation]\ndata_centers = bzh-a,bzh-b\n");
    ASSERT_TRUE(succeeded(read)) << describe(error_of(read).front());
    EXPECT_THAT(value_of(read).formation.data_centers,
                ElementsAre(data_center_id{"bzh-a"}, data_center_id{"bzh-b"}));
    const auto none = parse_settings(std::string{good_text} + "[formation]\ndata_centers =\n");
    ASSERT_TRUE(succeeded(none)) << "a deployment may have no table of data centres";
    EXPECT_TRUE(value_of(none).formation.data_centers.empty());
    for (const std::string list : {"a,,b", "a,a", "a/b", "a, b"}) {
        EXPECT_THAT(mistakes_of(std::string{good_text} + "[formation]\ndata_centers = " + list + "\n"),
                    ElementsAre(mistake_at("formation", "data_centers")))
            << list;
    }
}

TEST(settings, reads_what_is_given_and_keeps_defaults) {
    const auto read = parse_settings(good_text);
    ASSERT_TRUE(succeeded(read)) << describe(error_of(read).front());
    const settings& value = value_of(read);
    EXPECT_EQ(value.host, host_id{"host-a"});
    EXPECT_EQ(value.role, host_role::both);
    EXPECT_EQ(value.listen.hosts, endpoint{"127.0.0.1:7300"});
    ASSERT_EQ(value.seeds.size(), 2U);
    EXPECT_EQ(value.seeds[1].host, host_id{"host-b"});
    EXPECT_EQ(value.times.lease_length, 2500ms);
    EXPECT_EQ(value.times.heartbeat, protocol_times{}.heartbeat);
    EXPECT_EQ(value.limits.body_bytes, 65'536U);
    EXPECT_EQ(value.limits.queued_requests, 12U);
    EXPECT_EQ(value.limits.idle_connection, 2min);
}

TEST(settings, reports_every_mistake_in_the_order_of_the_file) {
    const auto mistakes = mistakes_of(R"([host]
name = host a
role = leader
colour = red
[listen]
callers = 127.0.0.1
operators = 0.0.0.0:7200
hosts = 127.0.0.1:7300
[seeds]
host-a = 127.0.0.1:0
[times]
heartbeat = 100
[limits]
body_bytes = 64kb
queued_requests = many
[extras]
key = value
)");
    EXPECT_THAT(mistakes, ElementsAre(mistake_at("host", "name"), mistake_at("host", "role"),
                                      mistake_at("host", "colour"), mistake_at("listen", "callers"),
                                      mistake_at("listen", "operators"), mistake_at("seeds", "host-a"),
                                      mistake_at("times", "heartbeat"), mistake_at("limits", "body_bytes"),
                                      mistake_at("limits", "queued_requests"), mistake_at("extras", "key"),
                                      mistake_at("host", "data_center")));
}

TEST(settings, names_the_value_and_what_is_allowed) {
    const auto mistakes = mistakes_of(replaced(good_text, "2500ms", "9s"));
    ASSERT_EQ(mistakes.size(), 1U);
    EXPECT_EQ(describe(mistakes[0]),
              "[times] lease_length = \"9s\"; allowed: 200ms to 5s, with a unit: ms, s, min or h");
}

/** Guards against a budget for connections that is too large for the machine. */
TEST(settings, derives_the_memory_for_connections_from_that_of_the_machine_unless_it_is_set) {
    const auto memory_with = [](const std::string& lines) {
        const auto read = parse_settings(replaced(good_text, "[limits]\n", "[limits]\n" + lines));
        return succeeded(read) ? connection_memory_of(value_of(read).limits) : 0;
    };
    EXPECT_EQ(memory_with(""), 64 * mebibyte);
    EXPECT_EQ(memory_with("machine_memory = 160MiB\n"), 160 * mebibyte / 3);
    EXPECT_EQ(memory_with("machine_memory = 160MiB\nconnection_bytes = 8MiB\n"), 8 * mebibyte);
    EXPECT_EQ(memory_with("connection_bytes = 1MiB\n"), 0U) << "too small for the part of each server";
    EXPECT_EQ(memory_with("header_fields = 0\n"), 0U);
}

TEST(settings, reads_the_processor_and_keeps_the_default_of_one_core) {
    const auto given = parse_settings(
        replaced(good_text, "role = both", "role = both\nprocessor_share = 0.12\nprocessor_speed = 2"));
    ASSERT_TRUE(succeeded(given));
    EXPECT_EQ(value_of(given).processor_share, 0.12);
    EXPECT_EQ(value_of(given).processor_speed, 2.0);
    EXPECT_EQ(value_of(parse_settings(good_text)).processor_share, 1.0);
    for (const char* wrong : {"0", "-1", "much", "5000"}) {
        const auto mistakes = mistakes_of(
            replaced(good_text, "role = both", std::string{"role = both\nprocessor_share = "} + wrong));
        EXPECT_THAT(mistakes, ElementsAre(mistake_at("host", "processor_share"))) << wrong;
    }
}

TEST(settings, checks_addresses_against_each_other) {
    const auto overlapping = mistakes_of(replaced(good_text, "127.0.0.1:7200", "127.0.0.1:7100"));
    EXPECT_THAT(overlapping, ElementsAre(mistake_at("listen", "operators")));
    const auto own_seed =
        mistakes_of(replaced(good_text, "host-a = 127.0.0.1:7300", "host-a = 127.0.0.1:7301"));
    EXPECT_THAT(own_seed, ElementsAre(mistake_at("seeds", "host-a")));
    const auto same_seed = mistakes_of(replaced(good_text, "127.0.0.2:7300", "127.0.0.1:7300"));
    EXPECT_THAT(same_seed, ElementsAre(mistake_at("seeds", "host-b")));
}

TEST(settings, allows_free_ports_to_listen_on) {
    std::string text = replaced(good_text, "127.0.0.1:7100", "127.0.0.1:0");
    text = replaced(text, "127.0.0.1:7200", "127.0.0.1:0");
    EXPECT_THAT(mistakes_of(text), ElementsAre());
}

TEST(settings, checks_role_against_folder_and_seeds) {
    const auto no_folder = mistakes_of(replaced(good_text, "data_folder = /data\n", ""));
    EXPECT_THAT(no_folder, ElementsAre(mistake_at("host", "data_folder")));
    const auto no_seed = mistakes_of(replaced(good_text, "host-a = 127.0.0.1:7300\n", ""));
    EXPECT_THAT(no_seed, ElementsAre(mistake_at("seeds", "host-a")));
    const auto entry = mistakes_of(replaced(good_text, "role = both", "role = entry"));
    EXPECT_THAT(entry, ElementsAre(mistake_at("seeds", "host-a")));
}

TEST(settings, checks_times_against_each_other) {
    EXPECT_THAT(mistakes_of(replaced(good_text, "lease_length = 2500ms", "lease_renewal = 2s")),
                ElementsAre(mistake_at("times", "lease_length")));
    EXPECT_THAT(mistakes_of(replaced(good_text, "lease_length = 2500ms", "heartbeat = 400ms")),
                ElementsAre(mistake_at("times", "election_timeout")));
}

TEST(settings, reports_text_that_is_not_ini) {
    const auto mistakes = mistakes_of("[host\nname = a\n");
    ASSERT_EQ(mistakes.size(), 1U);
    EXPECT_THAT(describe(mistakes[0]), HasSubstr("line 1"));
    EXPECT_THAT(mistakes_of("[host]\nname = a\nname = b\n").front().value, "line 3");
}

class settings_file : public ::testing::Test {
protected:
    std::string write(const std::string& name, const std::string& text) const {
        return m_folder.write(name, text);
    }

    temporary_folder m_folder;
};

TEST_F(settings_file, checks_the_data_folder) {
    EXPECT_THAT(error_of(read_settings_file(write("a.ini", good_text))),
                ElementsAre(mistake_at("host", "data_folder")));
    const std::string text = replaced(good_text, "/data", m_folder.path().string());
    EXPECT_TRUE(succeeded(read_settings_file(write("a.ini", text))));
}

TEST_F(settings_file, checks_the_mode_of_the_token_file) {
    const std::string tokens = write("tokens", "anna: secret\n");
    const std::string text =
        replaced(good_text, "/data", m_folder.path().string()) + "[operators]\ntoken_file = " + tokens;
    std::filesystem::permissions(tokens, std::filesystem::perms{0644});
    EXPECT_THAT(error_of(read_settings_file(write("a.ini", text))),
                Contains(mistake_at("operators", "token_file")));
    std::filesystem::permissions(tokens, std::filesystem::perms{0600});
    EXPECT_TRUE(succeeded(read_settings_file(write("a.ini", text))));
}

TEST_F(settings_file, reports_a_missing_file) {
    const auto read = read_settings_file((m_folder.path() / "none.ini").string());
    ASSERT_FALSE(succeeded(read));
    EXPECT_THAT(describe(error_of(read).front()), HasSubstr("none.ini"));
}

} // namespace
} // namespace tamarack
