#include "hosts/control_host_registry.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

settings settings_with_three_seeds() {
    settings host_settings;
    host_settings.host = host_id{"a"};
    host_settings.formation.automatic = true;
    host_settings.formation.first_start = true;
    host_settings.formation.tolerated_losses = 1;
    for (const char* seed : {"a", "b", "c"}) {
        host_settings.seeds.push_back({host_id{seed}, endpoint{"10.0.0.1:1"}});
    }
    return host_settings;
}

void add_identity(control_host_registry& registry, const std::string& host, std::uint64_t incarnation) {
    registry.on_identity(start, {host_id{host}, incarnation_id{incarnation}}, data_center_id{"dc"});
}

TEST(control_host_registry, first_seed_bootstraps_once_all_voters_are_known) {
    const settings host_settings = settings_with_three_seeds();
    control_host_registry registry{host_settings};
    add_identity(registry, "a", 1);
    add_identity(registry, "b", 2);
    EXPECT_TRUE(registry.first_voters({}).empty());
    add_identity(registry, "c", 3);
    EXPECT_EQ(registry.first_voters({}).size(), 3U);
    EXPECT_TRUE(registry.first_voters(host_id{"b"}).empty()) << "there is a leader already";
}

TEST(control_host_registry, other_hosts_and_later_starts_never_bootstrap) {
    settings other = settings_with_three_seeds();
    other.host = host_id{"b"};
    settings later = settings_with_three_seeds();
    later.formation.first_start = false;
    for (const settings& host_settings : {other, later}) {
        control_host_registry registry{host_settings};
        add_identity(registry, "a", 1);
        add_identity(registry, "b", 2);
        add_identity(registry, "c", 3);
        EXPECT_TRUE(registry.first_voters({}).empty());
    }
}

TEST(control_host_registry, candidates_have_the_latest_incarnation_and_the_time_since_last_seen) {
    const settings host_settings = settings_with_three_seeds();
    control_host_registry registry{host_settings};
    add_identity(registry, "b", 2);
    add_identity(registry, "b", 5);
    const auto candidates = registry.candidates(start + 3s);
    ASSERT_EQ(candidates.size(), 1U);
    EXPECT_EQ(candidates.front().member.incarnation.value, 5U);
    EXPECT_EQ(candidates.front().silent_for, 3s);
    EXPECT_EQ(registry.identities().at(host_id{"b"}).incarnation.value, 5U);
}

} // namespace
} // namespace tamarack
