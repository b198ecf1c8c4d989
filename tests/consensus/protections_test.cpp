#include "scenario.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

using testing::Contains;
using testing::HasSubstr;
using testing::IsEmpty;
using protection = bool raft_protections::*;

raft_options without(protection off) {
    raft_options options = tight_options();
    options.protections.*off = false;
    return options;
}

/** Runs each case with all protections enabled, and with one of them disabled. */
class protections : public testing::Test {
protected:
    static bool random_runs_break(protection off, const std::string& violation) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const auto violations = random_run(seed, 3, without(off));
            const auto found = [&](const std::string& text) {
                return text.find(violation) != std::string::npos;
            };
            if (std::ranges::any_of(violations, found)) {
                return true;
            }
        }
        return false;
    }
};

/**
 * Both hosts that store an entry lose power before their slow disks have synced it. @return the number of
 * seeds with a violation
 */
std::size_t power_lost_before_sync(const raft_options& options) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_cluster cluster{seed, 3, options, {}};
        cluster.bootstrap();
        cluster.run(3s);
        const std::size_t leader = *cluster.leader();
        const std::size_t follower = (leader + 1) % 3;
        cluster.isolate((leader + 2) % 3);
        cluster.conditions().min_sync_time = 400ms;
        cluster.conditions().max_sync_time = 500ms;
        cluster.propose(leader, "content");
        cluster.run(100ms);
        for (const std::size_t host : {leader, follower}) {
            cluster.crash(host);
            cluster.start(host);
        }
        cluster.conditions() = {};
        cluster.heal();
        cluster.run(5s);
        broken += cluster.checker().violations().empty() ? 0U : 1U;
    }
    return broken;
}

TEST_F(protections, reply_after_sync_keeps_acknowledged_entries) {
    EXPECT_EQ(power_lost_before_sync(tight_options()), 0U);
    EXPECT_GT(power_lost_before_sync(without(&raft_protections::reply_after_sync)), 0U);
}

TEST_F(protections, confirm_reads_keeps_reads_current) {
    EXPECT_TRUE(random_runs_break(&raft_protections::confirm_reads, "a confirmed read is older"));
}

/** An isolated host returns. @return whether the leader and its term stayed */
bool leader_stays(const raft_options& options) {
    fake_cluster cluster{1, 3, options, {}};
    cluster.bootstrap();
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const log_term term = cluster.at(leader).node->term();
    cluster.isolate((leader + 1) % 3);
    cluster.run(10s);
    cluster.heal();
    cluster.run(10s);
    return cluster.leader() == leader && cluster.at(leader).node->term() == term;
}

TEST_F(protections, pre_vote_lets_a_host_return_without_an_election) {
    EXPECT_TRUE(leader_stays(tight_options()));
    EXPECT_FALSE(leader_stays(without(&raft_protections::pre_vote)));
}

/** @return whether a leader that receives nothing still considers itself the leader */
bool isolated_leader_leads(const raft_options& options) {
    fake_cluster cluster{1, 3, options, {}};
    cluster.bootstrap();
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    cluster.isolate(leader);
    cluster.run(2 * options.election_timeout);
    return cluster.at(leader).node->role() == raft_role::leader;
}

TEST_F(protections, check_quorum_ends_an_isolated_leadership) {
    EXPECT_FALSE(isolated_leader_leads(tight_options()));
    EXPECT_TRUE(isolated_leader_leads(without(&raft_protections::check_quorum)));
}

/**
 * A leader replicates an entry of an older term to a majority and is isolated before an entry of its own term
 * follows. A host with an entry of a term between the two leads next. If the leader counted the older entry
 * as committed, the next leader would overwrite it.
 */
std::vector<std::string> commit_entry_of_older_term(raft_options options) {
    options.max_entries_per_message = 1;
    fake_cluster cluster{1, 3, options, {0, 0, 1ms, 1ms, 1ms, 1ms, 0}};
    const std::vector<member_id> voters{cluster.member(0), cluster.member(1), cluster.member(2)};
    const log_entry first{1, 1, entry_kind::members, {}, {voters, {}}};
    const log_entry older{2, 2, entry_kind::command, "older", {}};
    const log_entry newer{3, 2, entry_kind::command, "newer", {}};
    const std::vector<recovered_log> logs{
        {{3, {}}, {}, {first, older}}, {{3, {}}, {}, {first}}, {{3, {}}, {}, {first, newer}}};
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.crash(host);
        cluster.at(host).disk.restore_older(logs[host]);
        cluster.start(host);
    }
    cluster.isolate(2);
    cluster.run_until([&] { return cluster.at(1).node->last().index == 2; }, 5s);
    cluster.cut(0, 1);
    cluster.run_until([&] { return cluster.at(0).applied >= 2; }, 4ms);
    cluster.heal();
    cluster.isolate(0);
    cluster.run(5s);
    cluster.heal();
    cluster.run(5s);
    return cluster.checker().violations();
}

TEST_F(protections, commit_own_term_only_keeps_committed_entries) {
    EXPECT_THAT(commit_entry_of_older_term(tight_options()), IsEmpty());
    EXPECT_THAT(commit_entry_of_older_term(without(&raft_protections::commit_own_term_only)),
                Contains(HasSubstr("a committed")));
}

/**
 * Of the two hosts that store an accepted entry, one loses its folder and the other is isolated. If the
 * emptied host still voted, it could elect the host that lacks the entry.
 */
std::vector<std::string> wiped_host_votes_for_lagging_one(const raft_options& options) {
    fake_cluster cluster{1, 3, options, {}};
    cluster.bootstrap();
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::size_t follower = (leader + 1) % 3;
    cluster.isolate((leader + 2) % 3);
    cluster.propose(leader, "accepted");
    cluster.run(500ms);
    EXPECT_EQ(cluster.checker().acknowledged(), cluster.at(leader).node->last().index);
    cluster.empty(follower);
    cluster.start(follower);
    cluster.heal();
    cluster.isolate(leader);
    cluster.run(5s);
    cluster.heal();
    cluster.run(5s);
    return cluster.checker().violations();
}

TEST_F(protections, incarnation_check_keeps_committed_entries) {
    EXPECT_THAT(wiped_host_votes_for_lagging_one(tight_options()), IsEmpty());
    EXPECT_THAT(wiped_host_votes_for_lagging_one(without(&raft_protections::incarnation_check)),
                Contains(HasSubstr("a committed entry changed")));
}

/** A leader that is isolated with one other host requests that the two be the only voters. */
std::vector<std::string> remove_three_voters_at_once(const raft_options& options) {
    fake_cluster cluster{1, 5, options, {}};
    cluster.bootstrap();
    cluster.run(3s);
    const std::size_t leader = *cluster.leader();
    const std::size_t other = (leader + 1) % 5;
    cluster.split({leader, other});
    cluster.act(leader, [&](raft_node& node, time_point now) {
        raft_actions actions;
        const std::vector<member_id> wanted{cluster.member(leader), cluster.member(other)};
        static_cast<void>(node.change_voters(now, wanted, actions));
        return actions;
    });
    cluster.run(5s);
    cluster.heal();
    cluster.run(5s);
    return cluster.checker().violations();
}

TEST_F(protections, one_change_at_a_time_keeps_one_majority) {
    EXPECT_THAT(remove_three_voters_at_once(tight_options()), IsEmpty());
    EXPECT_THAT(remove_three_voters_at_once(without(&raft_protections::one_change_at_a_time)),
                Contains(HasSubstr("a committed entry changed")));
}

} // namespace
} // namespace tamarack
