#include "hosts/control_host_registry.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

settings founder_of_three() {
    settings chosen;
    chosen.host = host_id{"a"};
    chosen.formation.automatic = true;
    chosen.formation.first_start = true;
    chosen.formation.tolerated_losses = 1;
    for (const char* seed : {"a", "b", "c"}) {
        chosen.seeds.push_back({host_id{seed}, endpoint{"10.0.0.1:1"}});
    }
    return chosen;
}

void introduce(control_host_registry& introductions, const std::string& host, std::uint64_t incarnation) {
    introductions.on_introduced(start, {host_id{host}, incarnation_id{incarnation}}, data_center_id{"dc"});
}

TEST(control_host_registry, the_first_seed_founds_once_it_has_heard_all_voters) {
    const settings chosen = founder_of_three();
    control_host_registry introductions{chosen};
    introduce(introductions, "a", 1);
    introduce(introductions, "b", 2);
    EXPECT_TRUE(introductions.first_voters({}).empty());
    introduce(introductions, "c", 3);
    EXPECT_EQ(introductions.first_voters({}).size(), 3U);
    EXPECT_TRUE(introductions.first_voters(host_id{"b"}).empty()) << "there is a leader already";
}

TEST(control_host_registry, nobody_else_founds_and_nobody_on_a_later_start) {
    settings other = founder_of_three();
    other.host = host_id{"b"};
    settings later = founder_of_three();
    later.formation.first_start = false;
    for (const settings& chosen : {other, later}) {
        control_host_registry introductions{chosen};
        introduce(introductions, "a", 1);
        introduce(introductions, "b", 2);
        introduce(introductions, "c", 3);
        EXPECT_TRUE(introductions.first_voters({}).empty());
    }
}

TEST(control_host_registry, candidates_have_their_latest_life_and_the_time_since_it_was_heard) {
    const settings chosen = founder_of_three();
    control_host_registry introductions{chosen};
    introduce(introductions, "b", 2);
    introduce(introductions, "b", 5);
    const auto candidates = introductions.candidates(start + 3s);
    ASSERT_EQ(candidates.size(), 1U);
    EXPECT_EQ(candidates.front().member.incarnation.value, 5U);
    EXPECT_EQ(candidates.front().silent_for, 3s);
    EXPECT_EQ(introductions.identities().at(host_id{"b"}).incarnation.value, 5U);
}

} // namespace
} // namespace tamarack
