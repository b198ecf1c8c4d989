#include "scenario.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tamarack {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

/** A cluster of three members with an elected leader. */
class raft_node_test : public testing::Test {
protected:
    raft_node_test() {
        m_cluster.bootstrap();
        m_cluster.run(3s);
        m_leader = *m_cluster.leader();
        m_second = (m_leader + 1) % 3;
        m_third = (m_leader + 2) % 3;
    }
    ~raft_node_test() override { EXPECT_THAT(m_cluster.checker().violations(), IsEmpty()); }
    raft_node_test(const raft_node_test&) = delete;
    raft_node_test& operator=(const raft_node_test&) = delete;
    raft_node_test(raft_node_test&&) = delete;
    raft_node_test& operator=(raft_node_test&&) = delete;

    raft_node& node(std::size_t host) { return *m_cluster.at(host).node; }

    void propose_some(std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            EXPECT_TRUE(m_cluster.propose(*m_cluster.leader(), std::to_string(number)));
            m_cluster.run(10ms);
        }
    }

    /** Saves the content of a host's disk and restores it after others have acknowledged more. */
    void restore_after_progress(std::size_t host, bool noticed) {
        recovered_log older = m_cluster.at(host).disk.content();
        older.may_vote = !noticed;
        older.fresh = false;
        propose_some(20);
        m_cluster.run(500ms);
        m_cluster.crash(host);
        m_cluster.at(host).disk.restore_older(older);
        m_cluster.start(host);
        m_cluster.run(300ms);
    }

    bool is_voter(const member_id& member) {
        const auto& voters = node(*m_cluster.leader()).members().voters;
        return std::ranges::find(voters, member) != voters.end();
    }

    fake_cluster m_cluster{1, 3, tight_options(), {}};
    std::size_t m_leader = 0;
    std::size_t m_second = 0;
    std::size_t m_third = 0;
};

TEST_F(raft_node_test, commits_everywhere) {
    propose_some(100);
    m_cluster.run(1s);
    EXPECT_EQ(m_cluster.checker().acknowledged(), 102U);
    EXPECT_TRUE(m_cluster.all_applied(102));
}

TEST_F(raft_node_test, hands_over_without_waiting_for_a_timeout) {
    m_cluster.act(m_leader, [](raft_node& node, time_point now) { return node.transfer_leadership(now); });
    EXPECT_FALSE(m_cluster.propose(m_leader, "too late"));
    EXPECT_TRUE(
        m_cluster.run_until([&] { return m_cluster.leader() && m_cluster.leader() != m_leader; }, 50ms));
}

TEST_F(raft_node_test, refuses_proposals_beyond_its_bound) {
    m_cluster.isolate(m_leader);
    std::size_t accepted = 0;
    while (m_cluster.propose(m_leader, "content")) {
        ++accepted;
    }
    EXPECT_EQ(accepted, tight_options().max_uncommitted_proposals);
}

TEST_F(raft_node_test, sends_a_snapshot_in_parts_to_a_host_behind_the_cut) {
    m_cluster.isolate(m_third);
    for (int batch = 0; batch < 40; ++batch) {
        for (int number = 0; number < 40; ++number) {
            EXPECT_TRUE(m_cluster.propose(m_leader, "content"));
        }
        m_cluster.run(100ms);
    }
    m_cluster.compact_log(m_leader);
    m_cluster.heal();
    m_cluster.run(2s);
    EXPECT_TRUE(m_cluster.all_applied(node(m_leader).last().index));
    EXPECT_GT(m_cluster.at(m_third).disk.content().snapshot.last.index, 0U);
}

TEST_F(raft_node_test, cuts_a_log_whose_entries_a_slow_disk_has_not_stored) {
    m_cluster.conditions().min_sync_time = 10s;
    m_cluster.conditions().max_sync_time = 10s;
    EXPECT_TRUE(m_cluster.propose(m_leader, "the sync of this one takes long"));
    m_cluster.conditions() = {};
    m_cluster.run(1s);
    const std::size_t next = *m_cluster.leader();
    for (int batch = 0; batch < 50; ++batch) {
        for (int number = 0; number < 40; ++number) {
            EXPECT_TRUE(m_cluster.propose(next, "content"));
        }
        m_cluster.run(100ms);
    }
    m_cluster.compact_log(m_leader);
    m_cluster.run(20s);
    EXPECT_GE(m_cluster.at(m_leader).disk.content().snapshot.last.index, 2'000U);
}

TEST_F(raft_node_test, keeps_its_leader_while_disks_stall) {
    const log_term term = node(m_leader).term();
    m_cluster.conditions().min_sync_time = 5s;
    m_cluster.conditions().max_sync_time = 5s;
    EXPECT_TRUE(m_cluster.propose(m_leader, "content"));
    m_cluster.run(4s);
    m_cluster.conditions() = {};
    m_cluster.run(2s);
    EXPECT_EQ(m_cluster.leader(), m_leader);
    EXPECT_EQ(node(m_leader).term(), term);
    EXPECT_TRUE(m_cluster.all_applied(node(m_leader).last().index));
}

TEST_F(raft_node_test, survives_the_loss_of_a_second_host_after_a_repair) {
    propose_some(5);
    m_cluster.empty(m_second);
    m_cluster.start(m_second);
    const member_id renewed = m_cluster.member(m_second);
    EXPECT_TRUE(m_cluster.run_until([&] { return is_voter(renewed); }, 2s));
    m_cluster.run(100ms);
    m_cluster.crash(m_leader);
    EXPECT_TRUE(m_cluster.run_until([&] { return m_cluster.leader().has_value(); }, 5s));
    propose_some(5);
    m_cluster.run(500ms);
    EXPECT_GE(m_cluster.at(m_second).applied, m_cluster.checker().acknowledged());
}

TEST_F(raft_node_test, goes_on_when_the_repaired_host_fails_again) {
    m_cluster.empty(m_second);
    m_cluster.start(m_second);
    const auto removed = [&] { return node(m_leader).members().voters.size() == 2; };
    EXPECT_TRUE(m_cluster.run_until(removed, 2s));
    m_cluster.crash(m_second);
    propose_some(5);
    m_cluster.run(500ms);
    EXPECT_EQ(m_cluster.checker().acknowledged(), node(m_leader).last().index);
    m_cluster.start(m_second);
    EXPECT_TRUE(m_cluster.run_until([&] { return is_voter(m_cluster.member(m_second)); }, 2s));
}

TEST_F(raft_node_test, repairs_only_while_the_remaining_voters_answer) {
    m_cluster.isolate(m_third);
    m_cluster.run(1s);
    m_cluster.empty(m_second);
    m_cluster.start(m_second);
    m_cluster.run(10s);
    EXPECT_FALSE(m_cluster.leader().has_value());
    m_cluster.heal();
    m_cluster.run(10s);
    EXPECT_TRUE(is_voter(m_cluster.member(m_second)));
}

TEST_F(raft_node_test, forms_no_history_from_emptied_folders) {
    propose_some(5);
    for (const std::size_t emptied : {m_second, m_third}) {
        m_cluster.empty(emptied);
        m_cluster.start(emptied);
    }
    m_cluster.run(20s);
    EXPECT_FALSE(m_cluster.leader().has_value());
    EXPECT_TRUE(node(m_leader).quorum_lost());
    EXPECT_EQ(node(m_leader).replaced_voters().size(), 2U);
    const std::vector<member_id> voters{m_cluster.member(m_second), m_cluster.member(m_third)};
    EXPECT_FALSE(succeeded(node(m_second).bootstrap(m_cluster.now(), voters)));
    EXPECT_FALSE(succeeded(node(m_leader).bootstrap(m_cluster.now(), {m_cluster.member(m_leader)})));
}

TEST_F(raft_node_test, does_not_count_a_voter_with_an_older_restored_folder) {
    restore_after_progress(m_second, true);
    EXPECT_THAT(node(m_leader).excluded_voters(), ElementsAre(m_cluster.member(m_second)));
    EXPECT_FALSE(node(m_second).may_vote());
    m_cluster.isolate(m_leader);
    m_cluster.run(10s);
    EXPECT_EQ(m_cluster.leader(), std::nullopt);
}

TEST_F(raft_node_test, detects_an_older_folder_that_was_restored_unnoticed) {
    restore_after_progress(m_second, false);
    EXPECT_THAT(node(m_leader).excluded_voters(), ElementsAre(m_cluster.member(m_second)));
    m_cluster.isolate(m_third);
    const log_index before = node(m_leader).committed();
    EXPECT_TRUE(m_cluster.propose(m_leader, "not counted"));
    m_cluster.run(5s);
    EXPECT_EQ(m_cluster.at(m_leader).applied, before);
}

TEST_F(raft_node_test, stops_leading_and_voting_after_a_failed_write) {
    m_cluster.at(m_leader).disk_fails = true;
    EXPECT_TRUE(m_cluster.propose(m_leader, "content"));
    m_cluster.run(100ms);
    EXPECT_EQ(node(m_leader).role(), raft_role::learner);
    EXPECT_FALSE(node(m_leader).may_vote());
    EXPECT_EQ(node(m_leader).next_timer(), time_point::max());
    m_cluster.run(5s);
    EXPECT_TRUE(m_cluster.leader().has_value());
    EXPECT_EQ(node(m_leader).role(), raft_role::learner);
}

/** Guards against a member that stays out of the log after a disk that was full for some seconds: a second
 * such disk then leaves no majority. */
TEST_F(raft_node_test, leads_again_after_each_disk_in_turn_has_failed_for_some_seconds) {
    for (int round = 0; round < 4; ++round) {
        const std::size_t failing = *m_cluster.leader();
        m_cluster.at(failing).disk_fails = true;
        EXPECT_TRUE(m_cluster.propose(failing, "content"));
        m_cluster.run(4'500ms);
        ASSERT_TRUE(m_cluster.leader().has_value()) << "round " << round;
        propose_some(5);
        m_cluster.at(failing).disk_fails = false;
        m_cluster.run(5s);
        EXPECT_TRUE(node(failing).may_vote());
        EXPECT_TRUE(m_cluster.all_applied(node(*m_cluster.leader()).last().index)) << "round " << round;
    }
    m_cluster.crash(m_second);
    EXPECT_TRUE(m_cluster.run_until([&] { return m_cluster.leader().has_value(); }, 5s));
    propose_some(5);
    EXPECT_GE(m_cluster.checker().acknowledged(), 25U);
}

/** A change that could not be stored is what the member counted on: it must be stored before it votes again.
 */
TEST_F(raft_node_test, stores_what_it_could_not_store_before_it_takes_part_again) {
    m_cluster.at(m_second).disk_fails = true;
    m_cluster.at(m_third).disk_fails = true;
    EXPECT_TRUE(m_cluster.propose(m_leader, "content"));
    m_cluster.run(2s);
    const log_index proposed = node(m_leader).last().index;
    EXPECT_LT(node(m_leader).committed(), proposed);
    m_cluster.at(m_second).disk_fails = false;
    m_cluster.run(5s);
    EXPECT_TRUE(m_cluster.leader().has_value());
    EXPECT_GE(m_cluster.at(m_second).disk.content().entries.back().index, proposed);
    EXPECT_FALSE(node(m_third).may_vote());
}

TEST_F(raft_node_test, adds_and_removes_voters_one_host_at_a_time) {
    const auto change = [&](std::vector<member_id> wanted) {
        bool begun = false;
        m_cluster.act(*m_cluster.leader(), [&](raft_node& node, time_point now) {
            raft_actions actions;
            begun = succeeded(node.change_voters(now, wanted, actions));
            return actions;
        });
        return begun;
    };
    const auto voters = node(m_leader).members().voters;
    EXPECT_FALSE(change({voters.front()}));
    EXPECT_TRUE(change({m_cluster.member(m_leader), m_cluster.member(m_second)}));
    EXPECT_FALSE(change(voters)) << "the removal is not committed yet";
    m_cluster.run(500ms);
    EXPECT_FALSE(is_voter(m_cluster.member(m_third)));
    EXPECT_TRUE(change(voters));
    m_cluster.run(1s);
    EXPECT_EQ(node(m_leader).members(), (log_members{voters, {}}));
    EXPECT_TRUE(change({m_cluster.member(m_second), m_cluster.member(m_third)}));
    m_cluster.run(5s);
    EXPECT_NE(m_cluster.leader(), m_leader);
    EXPECT_EQ(node(m_leader).role(), raft_role::learner);
}

TEST(raft_node_bootstrap, can_be_repeated_after_a_crash_within_it) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_cluster cluster{seed, 3, {}, {}};
        cluster.bootstrap();
        cluster.crash(0);
        cluster.start(0);
        if (cluster.at(0).node->last().index == 0) {
            cluster.bootstrap();
        }
        EXPECT_TRUE(cluster.run_until([&] { return cluster.leader().has_value(); }, 5s)) << "seed " << seed;
        EXPECT_THAT(cluster.checker().violations(), IsEmpty());
    }
}

} // namespace
} // namespace tamarack
