#include <tamarack_control/tamarack_control.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

member_id member(const std::string& host, std::uint64_t incarnation = 1) {
    return {host_id{host}, incarnation_id{incarnation}};
}

voter_candidate heard(const std::string& host, duration silent, const std::string& data_center = "dc") {
    return {member(host), data_center_id{data_center}, silent};
}

log_members voters(const std::vector<std::string>& names) {
    log_members members;
    for (const std::string& name : names) {
        members.voters.push_back(member(name));
    }
    return members;
}

bool names(const std::vector<member_id>& members, const std::string& host) {
    return std::any_of(members.begin(), members.end(),
                       [&](const member_id& item) { return item.host.value() == host; });
}

TEST(voter_plan, leaves_a_full_set_of_live_voters_alone) {
    const auto plan = plan_voters(voters({"a", "b", "c"}),
                                  {heard("a", 0s), heard("b", 1s), heard("c", 1s), heard("d", 0s)});
    EXPECT_FALSE(plan);
}

TEST(voter_plan, adds_a_successor_before_it_removes_the_lost_voter) {
    const std::vector<voter_candidate> known{heard("a", 0s), heard("b", 0s), heard("c", 5s), heard("d", 0s)};
    const auto first = plan_voters(voters({"a", "b", "c"}), known);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->size(), 4U);
    EXPECT_TRUE(names(*first, "c") && names(*first, "d"));
    const auto second = plan_voters(voters({"a", "b", "c", "d"}), known);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->size(), 3U);
    EXPECT_FALSE(names(*second, "c"));
}

TEST(voter_plan, does_nothing_without_a_live_successor) {
    EXPECT_FALSE(plan_voters(voters({"a", "b", "c"}),
                             {heard("a", 0s), heard("b", 0s), heard("c", 9s), heard("d", 9s)}));
}

TEST(voter_plan, waits_for_a_voter_that_is_silent_for_a_moment) {
    EXPECT_FALSE(plan_voters(voters({"a", "b", "c"}),
                             {heard("a", 0s), heard("b", 0s), heard("c", 2s), heard("d", 0s)}));
}

TEST(voter_plan, makes_one_change_at_a_time) {
    log_members members = voters({"a", "b", "c"});
    members.learners.push_back(member("d"));
    EXPECT_FALSE(plan_voters(members, {heard("a", 0s), heard("b", 0s), heard("c", 9s), heard("d", 0s)}));
}

TEST(voter_plan, fills_up_voters_that_were_fewer_than_wanted) {
    const auto plan = plan_voters(voters({"a"}), {heard("a", 0s), heard("b", 0s)});
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->size(), 2U);
}

TEST(voter_plan, spreads_voters_over_data_centres) {
    const auto plan = plan_voters(voters({"a", "b"}), {heard("a", 0s, "x"), heard("b", 0s, "y"),
                                                       heard("c", 0s, "x"), heard("d", 0s, "z")});
    ASSERT_TRUE(plan);
    EXPECT_TRUE(names(*plan, "d"));
}

} // namespace
} // namespace tamarack
