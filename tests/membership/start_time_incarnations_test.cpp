#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/**
 * A registry with the options of a platform edge: incarnations are start times, and services
 * may be unknown.
 */
struct start_time_incarnations : ::testing::Test {
    registry_options options() const {
        registry_options chosen;
        chosen.only_known_services = false;
        chosen.incarnations_are_start_times = true;
        return chosen;
    }

    announcement make_announcement(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence,
                                   const std::string& address = "10.0.0.1:80") const {
        announcement value;
        value.target = target_id{id};
        value.incarnation = incarnation_id{incarnation};
        value.sequence = sequence;
        value.address = endpoint{address};
        value.data_center = data_center_id{"dc"};
        value.service = service_id{"s"};
        value.state = target_state::ready;
        return value;
    }

    bool announce(target_registry& registry, const announcement& value) {
        return succeeded(registry.on_announcement(start + 1s, value, {}));
    }

    std::size_t usable(const target_registry& registry) { return registry.usable(service_id{"s"}).size(); }

    target_registry m_registry{host_id{"a"}, options(), start};
    target_registry m_other{host_id{"b"}, options(), start};
};

TEST_F(start_time_incarnations, takes_a_target_before_any_configuration_names_its_service) {
    EXPECT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    EXPECT_EQ(usable(m_registry), 1U);
}

TEST_F(start_time_incarnations, the_latest_start_holds_an_address) {
    EXPECT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    EXPECT_TRUE(announce(m_registry, make_announcement("i-2", 200, 1)));
    ASSERT_EQ(usable(m_registry), 1U);
    EXPECT_EQ(m_registry.usable(service_id{"s"}).front().latest.target.value(), "i-2");
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 6)))
        << "a late heartbeat of the former target at the address";
    EXPECT_EQ(usable(m_registry), 1U);
}

TEST_F(start_time_incarnations, refuses_a_heartbeat_of_an_earlier_incarnation_of_the_same_target) {
    EXPECT_TRUE(announce(m_registry, make_announcement("i-1", 100, 50)));
    EXPECT_TRUE(announce(m_registry, make_announcement("i-1", 200, 1)));
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 51)));
    EXPECT_EQ(m_registry.find(target_id{"i-1"})->latest.incarnation.value, 200U);
}

TEST_F(start_time_incarnations, a_later_incarnation_wins_on_a_host_that_saw_fewer_incarnations) {
    announce(m_registry, make_announcement("i-1", 100, 1));
    announce(m_registry, make_announcement("i-1", 200, 1));
    announce(m_other, make_announcement("i-1", 300, 1));
    m_registry.on_changes(start + 2s, m_other.take_changes());
    EXPECT_EQ(m_registry.find(target_id{"i-1"})->latest.incarnation.value, 300U);
}

TEST_F(start_time_incarnations, a_target_that_ends_gets_no_new_requests_anywhere) {
    announce(m_registry, make_announcement("i-1", 100, 3));
    m_other.on_changes(start + 1s, m_registry.take_changes());
    ASSERT_EQ(usable(m_other), 1U);
    EXPECT_TRUE(succeeded(m_registry.on_deregistration(start + 2s, target_id{"i-1"}, incarnation_id{100})));
    m_other.on_changes(start + 2s, m_registry.take_changes());
    EXPECT_EQ(usable(m_registry), 0U);
    EXPECT_EQ(usable(m_other), 0U);
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 4))) << "a late heartbeat at this host";
    EXPECT_FALSE(announce(m_other, make_announcement("i-1", 100, 4))) << "a late heartbeat at another host";
    EXPECT_TRUE(announce(m_other, make_announcement("i-1", 300, 1))) << "a new incarnation";
}

TEST_F(start_time_incarnations, the_end_of_an_earlier_incarnation_does_not_end_the_current_one) {
    announce(m_registry, make_announcement("i-1", 200, 1));
    EXPECT_FALSE(succeeded(m_registry.on_deregistration(start + 2s, target_id{"i-1"}, incarnation_id{100})));
    EXPECT_EQ(usable(m_registry), 1U);
}

TEST_F(start_time_incarnations, a_draining_target_does_not_become_ready_again_in_one_incarnation) {
    announce(m_registry, make_announcement("i-1", 100, 1));
    announcement draining = make_announcement("i-1", 100, 2);
    draining.state = target_state::draining;
    EXPECT_TRUE(announce(m_registry, draining));
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 3)));
    EXPECT_EQ(usable(m_registry), 0U);
}

/** Guards against hosts that never hear that a target has become cold again while its process runs. */
TEST_F(start_time_incarnations,
       a_warmup_that_grows_is_known_everywhere_and_one_that_shrinks_changes_nothing) {
    const auto heartbeat = [this](std::uint64_t sequence, time_point at, duration remaining) {
        announcement value = make_announcement("i-1", 100, sequence);
        value.remaining_warmup = remaining;
        EXPECT_TRUE(succeeded(m_registry.on_announcement(at, value, {})));
        m_other.on_changes(at, m_registry.take_changes());
    };
    const auto known = [this] { return m_other.find(target_id{"i-1"})->latest; };
    heartbeat(1, start + 1s, 5s);
    heartbeat(2, start + 2s, 4s);
    EXPECT_EQ(known().sequence, 1U) << "the same end of the warm-up";
    heartbeat(3, start + 3s, 0s);
    EXPECT_EQ(known().sequence, 1U);
    heartbeat(4, start + 8s, 0s);
    heartbeat(5, start + 9s, 3s);
    EXPECT_EQ(known().sequence, 5U);
    EXPECT_EQ(known().remaining_warmup, duration{3s});
    heartbeat(6, start + 10s, 10s);
    EXPECT_EQ(known().remaining_warmup, duration{10s}) << "again, before it was warm";
}

TEST_F(start_time_incarnations, the_announcement_carries_the_remaining_warmup) {
    announcement cold = make_announcement("i-1", 100, 1);
    cold.remaining_warmup = 2500ms;
    const auto decoded = decode_announcement(encode_announcement(cold));
    ASSERT_TRUE(succeeded(decoded));
    EXPECT_EQ(value_of(decoded).remaining_warmup, duration{2500ms});
}

/**
 * Load pattern: all hosts start at once after a power failure, and targets announce themselves a second
 * later.
 */
TEST_F(start_time_incarnations, restored_targets_are_usable_until_they_announce_themselves) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    target_registry restarted{host_id{"a"}, options(), start + 10s};
    restarted.restore(start + 10s, m_registry.all());
    EXPECT_EQ(usable(restarted), 1U);
    EXPECT_FALSE(restarted.changes_due()) << "others must not receive it as a change";
    ASSERT_TRUE(succeeded(restarted.on_announcement(start + 11s, make_announcement("i-1", 100, 6), {})));
    EXPECT_TRUE(restarted.changes_due());
    restarted.on_timer(start + 12500ms);
    EXPECT_EQ(usable(restarted), 1U);
}

TEST_F(start_time_incarnations, a_restored_target_that_stays_silent_is_removed) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    target_registry restarted{host_id{"a"}, options(), start + 10s};
    restarted.restore(start + 10s, m_registry.all());
    restarted.on_timer(restarted.next_timer());
    EXPECT_EQ(restarted.size(), 0U);
    EXPECT_LE(restarted.next_timer(), time_point::max());
}

TEST_F(start_time_incarnations, a_restored_target_never_replaces_a_known_one) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    target_registry restarted{host_id{"b"}, options(), start + 10s};
    ASSERT_TRUE(succeeded(restarted.on_announcement(start + 10s, make_announcement("i-2", 200, 1), {})));
    ASSERT_TRUE(succeeded(
        restarted.on_announcement(start + 10s, make_announcement("i-1", 300, 1, "10.0.0.2:80"), {})));
    restarted.restore(start + 11s, m_registry.all());
    EXPECT_EQ(restarted.find(target_id{"i-1"})->latest.incarnation.value, 300U);
    EXPECT_EQ(restarted.size(), 2U);
}

TEST_F(start_time_incarnations, a_host_past_its_grace_period_accepts_no_restored_target_from_another) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    target_registry restarted{host_id{"a"}, options(), start + 10s};
    restarted.restore(start + 10s, m_registry.all());
    m_other.on_changes(start + 10s, restarted.all());
    EXPECT_EQ(usable(m_other), 0U) << "the host may have removed the record of the target's end";
    target_registry young{host_id{"c"}, options(), start + 10s};
    young.on_changes(start + 10s, restarted.all());
    EXPECT_EQ(usable(young), 1U);
}

/** Passes the pending changes of one registry to another. */
void propagate(target_registry& from, target_registry& to) {
    to.on_changes(start + 2s, from.take_changes());
}

/**
 * A target may deregister at any host, while its registrar has received many heartbeats since the last
 * change.
 */
TEST_F(start_time_incarnations,
       a_deregistration_at_another_host_than_the_registrar_ends_the_target_everywhere) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    propagate(m_registry, m_other);
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 50)));
    ASSERT_TRUE(succeeded(m_other.on_deregistration(start + 2s, target_id{"i-1"}, incarnation_id{100})));
    propagate(m_other, m_registry);
    propagate(m_registry, m_other);
    EXPECT_EQ(usable(m_registry), 0U)
        << "the registrar has received later heartbeats, but none after the end";
    EXPECT_EQ(usable(m_other), 0U);
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 51))) << "a late heartbeat";
    EXPECT_EQ(usable(m_registry), 0U);
}

TEST_F(start_time_incarnations, a_deregistration_at_a_host_that_restored_the_target_ends_it_everywhere) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 5)));
    target_registry restarted{host_id{"c"}, options(), start};
    restarted.restore(start, m_registry.all());
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 50)));
    ASSERT_TRUE(succeeded(restarted.on_deregistration(start + 2s, target_id{"i-1"}, incarnation_id{100})));
    propagate(restarted, m_registry);
    EXPECT_EQ(usable(m_registry), 0U);
}

/**
 * A host that forwards requests learns from an answer that a target is leaving, before the target's
 * registrar does.
 */
TEST_F(start_time_incarnations, a_target_that_reports_in_an_answer_that_it_leaves_is_draining_everywhere) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    propagate(m_registry, m_other);
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 50)));
    EXPECT_TRUE(m_other.on_leaving(start + 2s, target_id{"i-1"}, incarnation_id{100}));
    EXPECT_EQ(usable(m_other), 0U);
    propagate(m_other, m_registry);
    EXPECT_EQ(usable(m_registry), 0U) << "the registrar has received later heartbeats that said ready";
    EXPECT_FALSE(announce(m_registry, make_announcement("i-1", 100, 51)))
        << "a late heartbeat that says ready";
    EXPECT_FALSE(announce(m_other, make_announcement("i-1", 100, 52))) << "a late heartbeat at another host";
    EXPECT_EQ(usable(m_registry) + usable(m_other), 0U);
}

TEST_F(start_time_incarnations, a_leaving_target_can_announce_that_it_drains) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    m_registry.on_leaving(start + 1s, target_id{"i-1"}, incarnation_id{100});
    announcement draining = make_announcement("i-1", 100, 2);
    draining.state = target_state::draining;
    EXPECT_TRUE(announce(m_registry, draining));
    EXPECT_TRUE(succeeded(m_registry.on_deregistration(start + 2s, target_id{"i-1"}, incarnation_id{100})));
}

TEST_F(start_time_incarnations, an_answer_of_an_earlier_incarnation_changes_nothing) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 200, 1)));
    EXPECT_FALSE(m_registry.on_leaving(start + 1s, target_id{"i-1"}, incarnation_id{100}));
    EXPECT_EQ(usable(m_registry), 1U);
}

/**
 * A host starts while others know that a target is leaving, and receives a late heartbeat before their
 * records.
 */
TEST_F(start_time_incarnations, a_host_that_starts_does_not_make_a_leaving_target_usable_again) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    m_registry.on_leaving(start + 1s, target_id{"i-1"}, incarnation_id{100});
    target_registry started{host_id{"c"}, options(), start + 2s};
    ASSERT_TRUE(succeeded(started.on_announcement(start + 2s, make_announcement("i-1", 100, 7), {})));
    propagate(started, m_registry);
    EXPECT_EQ(usable(m_registry), 0U)
        << "its record is newer, but a leaving target does not become ready again";
    started.on_changes(start + 3s, m_registry.all());
    EXPECT_EQ(usable(started), 0U);
}

TEST_F(start_time_incarnations, a_restarted_host_does_not_restore_a_target_that_others_know_as_leaving) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    const std::vector<target_record> saved = m_registry.all();
    m_registry.on_leaving(start + 1s, target_id{"i-1"}, incarnation_id{100});
    target_registry restarted{host_id{"c"}, options(), start + 2s};
    restarted.restore(start + 2s, saved);
    restarted.on_changes(start + 2s, m_registry.all());
    EXPECT_EQ(usable(restarted), 0U);
}

/** A target reports that it is leaving, and for a long time goes on sending heartbeats that say ready. */
TEST_F(start_time_incarnations, a_leaving_target_is_not_removed_while_it_announces_itself) {
    ASSERT_TRUE(announce(m_registry, make_announcement("i-1", 100, 1)));
    m_registry.on_leaving(start + 1s, target_id{"i-1"}, incarnation_id{100});
    std::uint64_t sequence = 2;
    for (time_point now = start + 2s; now < start + 200s; now += 1200ms) {
        m_registry.on_timer(now);
        EXPECT_FALSE(
            succeeded(m_registry.on_announcement(now, make_announcement("i-1", 100, sequence++), {})));
    }
    EXPECT_EQ(usable(m_registry), 0U);
}

} // namespace
} // namespace tamarack
