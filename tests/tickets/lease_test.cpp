#include <tamarack_tickets/tamarack_tickets.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

lease_grant grant_of(std::uint64_t number, std::uint64_t latest, std::uint64_t epoch = 0) {
    return {number, ticket_number{latest}, epoch, 0};
}

TEST(lease_holder, counts_from_the_moment_of_sending) {
    lease_holder holder{{}};
    EXPECT_FALSE(holder.may_serve(start));
    const auto renewal = holder.on_timer(start);
    ASSERT_TRUE(renewal.has_value());
    EXPECT_EQ(holder.on_timer(start + 999ms), std::nullopt);
    EXPECT_TRUE(holder.on_grant(start + 2s, grant_of(renewal->number, 1)));
    EXPECT_EQ(holder.ends_at(), start + 2970ms);
    EXPECT_TRUE(holder.may_serve(start + 2969ms));
    EXPECT_FALSE(holder.may_serve(start + 2970ms));
}

TEST(lease_holder, without_timing_from_sending_counts_from_arrival) {
    lease_options options;
    options.protections.runs_from_sending = false;
    lease_holder holder{options};
    const auto renewal = holder.on_timer(start);
    holder.on_grant(start + 2s, grant_of(renewal->number, 1));
    EXPECT_TRUE(holder.may_serve(start + 3031ms)) << "later than any lease table assumes";
}

TEST(lease_holder, accepts_only_requested_grants_and_each_once) {
    lease_holder holder{{}};
    const auto renewal = holder.on_timer(start);
    EXPECT_FALSE(holder.on_grant(start, grant_of(renewal->number + 1, 1)));
    EXPECT_TRUE(holder.on_grant(start, grant_of(renewal->number, 1)));
    EXPECT_FALSE(holder.on_grant(start, grant_of(renewal->number, 1)));
    const auto next = holder.on_timer(start + 1s);
    holder.end(start + 1s);
    EXPECT_FALSE(holder.on_grant(start + 1s, grant_of(next->number, 1)));
    EXPECT_FALSE(holder.may_serve(start + 1s));
}

TEST(lease_holder, serves_nothing_before_the_first_ticket) {
    lease_holder holder{{}};
    const auto renewal = holder.on_timer(start);
    EXPECT_FALSE(holder.on_grant(start, grant_of(renewal->number, 0)));
    EXPECT_FALSE(holder.may_serve(start));
}

lease_holder holder_after_older_grant(bool refuse_older) {
    lease_options options;
    options.protections.refuse_older_configuration = refuse_older;
    lease_holder holder{options};
    const auto first = holder.on_timer(start);
    holder.on_grant(start, grant_of(first->number, 6, 3));
    const auto second = holder.on_timer(start + 1s);
    holder.on_grant(start + 1s, grant_of(second->number, 5, 3));
    return holder;
}

TEST(lease_holder, never_goes_back_to_an_older_ticket) {
    const lease_holder holder = holder_after_older_grant(true);
    EXPECT_EQ(holder.serving(), ticket_number{6});
    EXPECT_EQ(holder.ends_at(), start + 2970ms);
}

TEST(lease_holder, without_refusal_of_older_configurations_goes_back) {
    EXPECT_EQ(holder_after_older_grant(false).serving(), ticket_number{5});
}

TEST(lease_holder, without_expiry_serves_for_ever) {
    lease_options options;
    options.protections.expire = false;
    lease_holder holder{options};
    const auto renewal = holder.on_timer(start);
    holder.on_grant(start, grant_of(renewal->number, 1));
    EXPECT_TRUE(holder.may_serve(start + 24h));
}

/** One incarnation of a host, and a lease table whose predecessors' leases have run out. */
class lease_table_test : public testing::Test {
protected:
    void renew(time_point now, std::uint64_t serving, std::uint64_t latest) {
        m_lease_table.on_renewal(now, m_host, m_incarnation, {1, ticket_number{serving}, 0},
                                 grant_of(1, latest));
    }

    const host_id m_host{"h1"};
    const incarnation_id m_incarnation{1};
    lease_table m_lease_table{{}, start};
    const time_point m_known = start + 4s;
};

TEST_F(lease_table_test, waits_for_what_a_predecessor_granted) {
    EXPECT_FALSE(m_lease_table.ticket_state(start + 3s, ticket_number{1}).in_force);
    EXPECT_EQ(m_lease_table.ticket_state(start, ticket_number{1}).in_force_by,
              m_lease_table.predecessors_end());
    EXPECT_GE(m_lease_table.predecessors_end(), start + 3030ms);
    EXPECT_TRUE(m_lease_table.ticket_state(m_known, ticket_number{1}).in_force);
    m_lease_table.skip_predecessor_wait();
    EXPECT_TRUE(m_lease_table.ticket_state(start, ticket_number{1}).in_force);
}

TEST_F(lease_table_test, waits_for_acknowledgement_or_the_end_of_the_lease) {
    renew(m_known, 1, 1);
    const auto waiting = m_lease_table.ticket_state(m_known + 1s, ticket_number{2});
    EXPECT_FALSE(waiting.in_force);
    EXPECT_EQ(waiting.waiting_for, std::vector<host_id>{m_host});
    EXPECT_TRUE(m_lease_table.ticket_state(waiting.in_force_by, ticket_number{2}).in_force);
    renew(m_known + 1s, 1, 2);
    EXPECT_FALSE(m_lease_table.ticket_state(m_known + 1s, ticket_number{2}).in_force)
        << "the grant may be lost";
    renew(m_known + 1s, 2, 2);
    EXPECT_TRUE(m_lease_table.ticket_state(m_known + 1s, ticket_number{2}).in_force);
}

TEST_F(lease_table_test, does_not_wait_for_ever_for_a_host_that_receives_nothing) {
    renew(m_known, 1, 1);
    for (int second = 1; second <= 4; ++second) {
        renew(m_known + second * 1s, 1, 2);
    }
    EXPECT_TRUE(m_lease_table.ticket_state(m_known + 4s, ticket_number{2}).in_force);
    EXPECT_EQ(m_lease_table.holders(m_known + 4s).size(), 1U);
}

TEST_F(lease_table_test, keeps_an_old_incarnation_until_its_lease_has_run_out) {
    renew(m_known, 1, 1);
    m_lease_table.on_renewal(m_known, m_host, incarnation_id{2}, {1, ticket_number{2}, 0}, grant_of(1, 2));
    EXPECT_FALSE(m_lease_table.ticket_state(m_known + 1s, ticket_number{2}).in_force);
    EXPECT_TRUE(m_lease_table.may_hold(m_known + 1s, m_host, m_incarnation));
    m_lease_table.on_release(m_host, m_incarnation);
    EXPECT_TRUE(m_lease_table.ticket_state(m_known + 1s, ticket_number{2}).in_force);
    EXPECT_FALSE(m_lease_table.may_hold(m_known + 1s, m_host, m_incarnation));
    m_lease_table.remove_expired(m_known + 5s);
    EXPECT_TRUE(m_lease_table.holders(m_known).empty());
}

} // namespace
} // namespace tamarack
