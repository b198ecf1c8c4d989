#include "control_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

namespace tamarack {
namespace {

std::string all_violations(control_world& world) {
    std::string text;
    for (const auto& violation : world.checks().violations()) {
        text += violation + "\n";
    }
    return text;
}

/** Boots a control plane with three control hosts and waits until ticket 1 is in force. */
void start_with_ticket(control_world& world) {
    world.boot();
    world.submit(world_ticket(1, 5), 0);
    ASSERT_TRUE(world.run_until([&] { return world.checks().reported_in_force() == ticket_number{1}; }, 10s));
}

TEST(control_plane, has_a_ticket_in_force_and_an_assignment_settled) {
    control_world world{{}};
    start_with_ticket(world);
    EXPECT_TRUE(world.run_until(
        [&] {
            return world.entry(0).client().assignment_settled() &&
                   world.entry(0).client().assigned().epoch == 1;
        },
        10s));
    EXPECT_EQ(world.entry(0).client().assigned().services.at(service_id{"finder"}).size(), 2U);
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, answers_racing_operators_with_one_content) {
    control_world world{{}};
    start_with_ticket(world);
    world.submit(world_ticket(2, 7), 0);
    world.submit(world_ticket(2, 9), 1);
    world.submit(world_ticket(2, 7), 2);
    ASSERT_TRUE(world.run_until([&] { return world.checks().reported_in_force() == ticket_number{2}; }, 10s));
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, serves_no_longer_than_the_lease_when_a_host_is_cut_off) {
    control_world world{{}};
    start_with_ticket(world);
    world.isolate(world.entry(0).self());
    world.run(100ms);
    EXPECT_TRUE(world.entry(0).may_serve());
    world.submit(world_ticket(2, 7), 0);
    world.run(3s);
    EXPECT_FALSE(world.entry(0).may_serve());
    ASSERT_TRUE(world.run_until([&] { return world.checks().reported_in_force() == ticket_number{2}; }, 3s));
    world.settle_and_check();
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, isolated_leader_extends_no_lease) {
    control_world world{{}};
    start_with_ticket(world);
    const std::size_t old_leader = world.leader();
    const host_id name = world.control(old_leader).member().host;
    for (std::size_t other = 0; other < world.control_count(); ++other) {
        if (other != old_leader) {
            world.network().cut(name, world.control(other).member().host);
            world.network().cut(world.control(other).member().host, name);
        }
    }
    world.submit(world_ticket(2, 7), old_leader);
    world.run(20s);
    EXPECT_EQ(world.checks().reported_in_force(), ticket_number{2}) << "accepted by the others";
    EXPECT_EQ(world.control(old_leader).node().state().tickets().current().number, ticket_number{1});
    EXPECT_TRUE(world.entry(0).may_serve());
    world.settle_and_check();
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, reports_in_force_despite_a_host_that_receives_nothing) {
    control_world world{{}};
    start_with_ticket(world);
    world.isolate(world.entry(0).self(), true);
    world.run(100ms);
    world.submit(world_ticket(2, 7), 0);
    ASSERT_TRUE(world.run_until([&] { return world.checks().reported_in_force() == ticket_number{2}; }, 6s));
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, keeps_its_tickets_over_a_restart_of_all_hosts_after_snapshots) {
    world_options options;
    options.control.min_entries_per_snapshot = 100;
    control_world world{options};
    start_with_ticket(world);
    for (std::uint64_t number = 2; number <= 1'000; ++number) {
        world.submit(world_ticket(number, 5), world.leader());
        world.run(20ms);
    }
    ASSERT_TRUE(world.run_until([&] { return world.checks().latest_accepted().value == 1'000; }, 30s));
    for (std::size_t index = 0; index < world.control_count(); ++index) {
        world.control(index).crash();
    }
    for (std::size_t index = 0; index < world.entry_count(); ++index) {
        world.entry(index).crash();
    }
    world.settle_and_check();
    EXPECT_EQ(world.entry(0).client().current().number, ticket_number{1'000});
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, loses_nothing_when_a_second_host_is_lost_after_a_repair) {
    control_world world{{}};
    start_with_ticket(world);
    world.control(1).lose_disk();
    world.control(1).start();
    world.run(10s);
    world.control(0).lose_disk();
    world.run(5s);
    EXPECT_TRUE(world.entry(0).may_serve());
    world.control(0).start();
    world.settle_and_check();
    EXPECT_EQ(all_violations(world), "");
}

/** @return whether a host is assigned to the service */
bool is_assigned(control_world& world, std::size_t entry) {
    const auto& hosts = world.entry(0).client().assigned().services.at(service_id{"finder"});
    return std::find(hosts.begin(), hosts.end(), world.entry(entry).self()) != hosts.end();
}

TEST(control_plane, takes_a_draining_host_out_of_the_assignment) {
    control_world world{{}};
    start_with_ticket(world);
    ASSERT_TRUE(world.run_until([&] { return world.entry(0).client().assigned().epoch == 1; }, 10s));
    const std::size_t leaving = is_assigned(world, 1) ? 1 : 2;
    ASSERT_TRUE(is_assigned(world, leaving));
    world.entry(leaving).drain();
    EXPECT_TRUE(world.run_until(
        [&] { return !is_assigned(world, leaving) && world.entry(0).client().assignment_settled(); }, 5s));
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, keeps_accepting_while_control_hosts_leave_and_return) {
    world_options options;
    options.control_hosts = 5;
    control_world world{options};
    start_with_ticket(world);
    std::vector<member_id> voters;
    for (std::size_t index = 0; index < world.control_count(); ++index) {
        voters.push_back(world.control(index).member());
    }
    std::uint64_t number = 1;
    const auto change_to = [&](const std::vector<member_id>& wanted) {
        const auto changed = [&] {
            control_process& leader = world.control(world.leader() % world.control_count());
            leader.change_voters(wanted);
            world.submit(world_ticket(++number, 5), world.leader() % world.control_count());
            world.run(200ms);
            return leader.node().report(leader.local_now()).members.voters == wanted;
        };
        EXPECT_TRUE(world.run_until(changed, 20s));
    };
    change_to({voters.begin(), voters.end() - 1});
    change_to({voters.begin(), voters.end() - 2});
    change_to({voters.begin(), voters.end() - 1});
    change_to(voters);
    world.control(0).crash();
    world.run(3s);
    world.settle_and_check();
    EXPECT_GT(world.checks().accepted_count(), 4U);
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, answers_a_key_of_a_lost_host_as_unknown) {
    control_world world{{}};
    start_with_ticket(world);
    world.request("once", 0);
    ASSERT_TRUE(world.run_until([&] { return world.checks().run_count() == 1; }, 2s) ||
                world.answer_to("once") != nullptr);
    world.entry(0).crash();
    world.run(100ms);
    world.request("once", 1);
    world.run(1s);
    EXPECT_EQ(world.answer_to("once")->verdict, claim_verdict::running);
    world.run(4s);
    world.request("once", 1);
    world.run(1s);
    EXPECT_EQ(world.answer_to("once")->verdict, claim_verdict::finished);
    EXPECT_EQ(world.answer_to("once")->result, run_result::unknown);
    EXPECT_EQ(all_violations(world), "");
}

TEST(control_plane, leaves_no_grant_behind_a_withdrawn_claim) {
    control_world world{{}};
    start_with_ticket(world);
    world.isolate(world.entry(0).self(), true);
    world.request("once", 0);
    world.run(2s);
    EXPECT_EQ(world.answer_to("once")->verdict, claim_verdict::running) << "uncertain at its host";
    world.run(1s);
    world.request("once", 1);
    world.run(2s);
    EXPECT_EQ(world.answer_to("once")->verdict, claim_verdict::finished)
        << "granted and ended at another host";
    EXPECT_EQ(all_violations(world), "");
}

TEST(lease_protections, without_expire_a_cut_off_host_serves_what_was_replaced) {
    world_options options;
    options.control.leases.protections.expire = false;
    control_world world{options};
    start_with_ticket(world);
    world.isolate(world.entry(0).self());
    world.submit(world_ticket(2, 7), 0);
    world.run(10s);
    EXPECT_NE(all_violations(world).find("though 2 was reported in force"), std::string::npos);
}

/**
 * Delays grants to a host by 2 s. If leases ran from a grant's arrival, they would last longer than the
 * leader assumes.
 */
std::string violations_with_late_grants(bool runs_from_sending) {
    world_options options;
    options.control.leases.protections.runs_from_sending = runs_from_sending;
    control_world world{options};
    start_with_ticket(world);
    world.network().slow_down(world.entry(0).self(), 2s);
    world.run(4s);
    world.isolate(world.entry(0).self());
    world.submit(world_ticket(2, 7), 0);
    world.run(10s);
    return all_violations(world);
}

TEST(lease_protections, without_timing_from_sending_a_late_grant_is_served_too_long) {
    EXPECT_EQ(violations_with_late_grants(true), "");
    EXPECT_NE(violations_with_late_grants(false).find("though 2 was reported in force"), std::string::npos);
}

TEST(ledger_protections, without_keep_unknown_a_key_runs_twice) {
    world_options options;
    options.control.ledger.protections.keep_unknown = false;
    const auto former = set_invariant_handler(
        [](std::string_view text, const source_place&) { throw std::logic_error{std::string{text}}; });
    control_world world{options};
    start_with_ticket(world);
    const auto resend_everywhere = [&] {
        for (int round = 0; round < 20; ++round) {
            world.request("once", world.random().below(world.entry_count()));
            world.run(100ms);
        }
    };
    EXPECT_THROW(resend_everywhere(), std::logic_error);
    set_invariant_handler(former);
}

} // namespace
} // namespace tamarack
