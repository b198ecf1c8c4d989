#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

configuration one_service() {
    service_definition service;
    service.id = service_id{"finder"};
    service.maps = {{"m1", {shard_id{"a"}, shard_id{"b"}}}};
    configuration in_force;
    in_force.services[service.id] = service;
    return in_force;
}

announcement valid_announcement(const std::string& name = "t1", const std::string& address = "10.0.0.1:80") {
    announcement value;
    value.target = target_id{name};
    value.incarnation = incarnation_id{7};
    value.sequence = 1;
    value.address = endpoint{address};
    value.data_center = data_center_id{"dc"};
    value.service = service_id{"finder"};
    value.shard = shard_id{"a"};
    value.versions = {{index_version{"v1"}, "m1"}};
    value.slots = 5;
    value.connections = 40;
    value.state = target_state::ready;
    return value;
}

class registry_test : public ::testing::Test {
protected:
    error_code refused(const announcement& value) {
        const auto before = m_registry.all();
        const auto generation = m_registry.generation();
        const auto result = m_registry.on_announcement(m_now, value, m_in_force);
        EXPECT_FALSE(succeeded(result));
        EXPECT_EQ(m_registry.all(), before);
        EXPECT_EQ(m_registry.generation(), generation);
        EXPECT_FALSE(m_registry.changes_due());
        return succeeded(result) ? error_code::input_output : error_of(result).code;
    }

    bool accepted(const announcement& value) {
        return succeeded(m_registry.on_announcement(m_now, value, m_in_force));
    }

    std::size_t usable() { return m_registry.usable(service_id{"finder"}).size(); }

    void advance(duration by) {
        m_now += by;
        m_registry.on_timer(m_now);
    }

    configuration m_in_force = one_service();
    time_point m_now{1h};
    registry_options m_options;
    target_registry m_registry{host_id{"h1"}, m_options, m_now};
};

TEST_F(registry_test, refuses_invalid_announcements_and_changes_nothing) {
    using change = std::function<void(announcement&)>;
    const std::vector<std::pair<error_code, change>> faults{
        {error_code::malformed, [](announcement& value) { value.target = target_id{}; }},
        {error_code::malformed, [](announcement& value) { value.incarnation = {}; }},
        {error_code::malformed, [](announcement& value) { value.address = endpoint{"nowhere"}; }},
        {error_code::malformed, [](announcement& value) { value.address = endpoint{"10.0.0.1:99999"}; }},
        {error_code::malformed, [](announcement& value) { value.slots = 0; }},
        {error_code::malformed, [](announcement& value) { value.connections = 0; }},
        {error_code::malformed,
         [](announcement& value) {
             value.versions.resize(17, {index_version{"v"}, "m1"});
         }},
        {error_code::malformed, [](announcement& value) { value.versions.push_back(value.versions[0]); }},
        {error_code::not_found, [](announcement& value) { value.service = service_id{"other"}; }},
        {error_code::not_found, [](announcement& value) { value.shard = shard_id{"z"}; }},
        {error_code::not_found, [](announcement& value) { value.versions[0].map = "m2"; }},
    };
    for (const auto& [code, corrupt] : faults) {
        announcement value = valid_announcement();
        corrupt(value);
        EXPECT_EQ(refused(value), code);
    }
}

TEST_F(registry_test, refuses_two_live_targets_at_one_address) {
    ASSERT_TRUE(accepted(valid_announcement("t1")));
    m_registry.take_changes();
    EXPECT_EQ(refused(valid_announcement("t2")), error_code::conflict);
    advance(m_options.grace_after_isolation + m_options.target_lease);
    EXPECT_TRUE(accepted(valid_announcement("t2")));
}

TEST_F(registry_test, refuses_more_targets_than_its_bound) {
    m_options.targets = 1;
    m_registry = target_registry{host_id{"h1"}, m_options, m_now};
    ASSERT_TRUE(accepted(valid_announcement("t1", "10.0.0.1:80")));
    m_registry.take_changes();
    EXPECT_EQ(refused(valid_announcement("t2", "10.0.0.1:81")), error_code::overloaded);
}

TEST_F(registry_test, refuses_old_announcements_and_moves_within_an_incarnation) {
    announcement value = valid_announcement();
    value.sequence = 5;
    ASSERT_TRUE(accepted(value));
    m_registry.take_changes();
    EXPECT_EQ(refused(value), error_code::stale);
    value.sequence = 6;
    value.shard = shard_id{"b"};
    EXPECT_EQ(refused(value), error_code::conflict);
}

TEST_F(registry_test, refuses_an_ended_incarnation) {
    ASSERT_TRUE(accepted(valid_announcement()));
    announcement restarted = valid_announcement();
    restarted.incarnation = incarnation_id{3};
    ASSERT_TRUE(accepted(restarted));
    m_registry.take_changes();
    announcement late = valid_announcement();
    late.sequence = 100;
    EXPECT_EQ(refused(late), error_code::conflict);
    EXPECT_EQ(m_registry.find(late.target)->latest.incarnation, incarnation_id{3});
}

TEST_F(registry_test, without_memory_of_ended_incarnations_an_old_one_is_accepted) {
    m_options.protections.refuse_ended_incarnations = false;
    m_registry = target_registry{host_id{"h1"}, m_options, m_now};
    announcement restarted = valid_announcement();
    restarted.incarnation = incarnation_id{3};
    ASSERT_TRUE(accepted(valid_announcement()) && accepted(restarted));
    announcement late = valid_announcement();
    late.sequence = 100;
    EXPECT_TRUE(accepted(late));
    EXPECT_EQ(m_registry.find(late.target)->latest.incarnation, incarnation_id{7});
}

TEST_F(registry_test, a_later_incarnation_from_another_host_ends_the_earlier_one) {
    ASSERT_TRUE(accepted(valid_announcement()));
    target_record later = *m_registry.find(target_id{"t1"});
    later.latest.incarnation = incarnation_id{2};
    later.incarnation_order = 2;
    later.registrar = host_id{"h2"};
    EXPECT_EQ(m_registry.on_changes(m_now, {later}).size(), 1U);
    m_registry.take_changes();
    announcement old_incarnation = valid_announcement();
    old_incarnation.sequence = 9;
    EXPECT_EQ(refused(old_incarnation), error_code::conflict);
}

TEST_F(registry_test, a_silent_target_is_dead_after_its_lease_and_removed_later) {
    advance(m_options.grace_after_isolation);
    ASSERT_TRUE(accepted(valid_announcement()));
    advance(m_options.target_lease - 1us);
    EXPECT_EQ(usable(), 1U);
    advance(1us);
    EXPECT_EQ(usable(), 0U);
    advance(m_options.forget_after);
    EXPECT_EQ(m_registry.size(), 0U);
}

TEST_F(registry_test, silent_targets_stay_alive_after_a_start_and_while_isolated) {
    ASSERT_TRUE(accepted(valid_announcement()));
    advance(m_options.target_lease);
    EXPECT_EQ(usable(), 1U);
    m_registry.on_isolation(m_now, true);
    advance(1h);
    EXPECT_EQ(usable(), 1U);
    m_registry.on_isolation(m_now, false);
    advance(m_options.grace_after_isolation + m_options.target_lease + m_options.grace_after_isolation);
    EXPECT_EQ(usable(), 0U);
}

TEST_F(registry_test, without_grace_a_starting_host_drops_a_quiet_target) {
    m_options.protections.grace = false;
    m_registry = target_registry{host_id{"h1"}, m_options, m_now};
    ASSERT_TRUE(accepted(valid_announcement()));
    advance(m_options.target_lease);
    EXPECT_EQ(usable(), 0U);
}

TEST_F(registry_test, targets_of_a_lost_registrar_get_time_to_find_another) {
    const std::vector<host_record> both{{host_id{"h1"}, {1}, 0, {}, false, {}, endpoint{"a"}, endpoint{"a"}},
                                        {host_id{"h2"}, {1}, 0, {}, false, {}, endpoint{"b"}, endpoint{"b"}}};
    for (const bool wait : {true, false}) {
        m_options.protections.wait_for_new_registrar = wait;
        target_registry registry{host_id{"h1"}, m_options, m_now - 1h};
        registry.on_hosts(m_now, both);
        registry.on_changes(m_now, {{valid_announcement(), host_id{"h2"}, true, 2, 1}});
        registry.on_hosts(m_now, {both[0]});
        registry.on_timer(m_now + m_options.orphan_time - 1us);
        EXPECT_EQ(registry.usable(service_id{"finder"}).size(), wait ? 1U : 0U);
        registry.on_timer(m_now + m_options.orphan_time);
        EXPECT_EQ(registry.usable(service_id{"finder"}).size(), 0U);
    }
}

TEST_F(registry_test, a_registrar_contradicts_a_wrong_report_of_death) {
    ASSERT_TRUE(accepted(valid_announcement()));
    target_record dead = *m_registry.find(target_id{"t1"});
    announcement later = valid_announcement();
    later.sequence = 2;
    ASSERT_TRUE(accepted(later));
    m_registry.take_changes();
    dead.alive = false;
    ++dead.version;
    EXPECT_TRUE(m_registry.on_changes(m_now, {dead}).empty());
    const auto restated = m_registry.take_changes();
    ASSERT_EQ(restated.size(), 1U);
    EXPECT_TRUE(restated[0].alive);
    EXPECT_TRUE(is_newer(restated[0], dead));
}

TEST_F(registry_test, heartbeats_without_changes_are_not_disseminated) {
    announcement value = valid_announcement();
    ASSERT_TRUE(accepted(value));
    m_registry.take_changes();
    const auto generation = m_registry.generation();
    for (value.sequence = 2; value.sequence < 20; ++value.sequence) {
        value.load.running = static_cast<std::uint32_t>(value.sequence);
        ASSERT_TRUE(accepted(value));
    }
    EXPECT_FALSE(m_registry.changes_due());
    EXPECT_EQ(m_registry.generation(), generation);
    EXPECT_EQ(m_registry.usable(value.service)[0].latest.load.running, 19U);
}

TEST_F(registry_test, a_heartbeat_extends_the_lease_of_a_registered_target_only) {
    const target_heartbeat heartbeat{target_id{"t1"}, {7}, 2, {9, 0}};
    EXPECT_EQ(error_of(m_registry.on_heartbeat(m_now, heartbeat)).code, error_code::not_found);
    advance(m_options.grace_after_isolation);
    ASSERT_TRUE(accepted(valid_announcement()));
    advance(m_options.target_lease - 1us);
    ASSERT_TRUE(succeeded(m_registry.on_heartbeat(m_now, heartbeat)));
    EXPECT_EQ(error_of(m_registry.on_heartbeat(m_now, heartbeat)).code, error_code::stale);
    advance(m_options.target_lease - 1us);
    EXPECT_EQ(usable(), 1U);
    advance(1us);
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(error_of(m_registry.on_heartbeat(m_now, {target_id{"t1"}, {7}, 3, {}})).code,
              error_code::not_found);
    EXPECT_EQ(value_of(decode_heartbeat(encode_heartbeat(heartbeat))), heartbeat);
}

TEST(announcement_codec, decodes_what_was_encoded_and_refuses_invalid_members) {
    announcement value = valid_announcement();
    value.load = {3, 4};
    const auto decoded = decode_announcement(encode_announcement(value));
    ASSERT_TRUE(succeeded(decoded));
    EXPECT_EQ(value_of(decoded), value);
    for (const std::string& member : encode_announcement(value).getMemberNames()) {
        Json::Value corrupted = encode_announcement(value);
        corrupted[member] = Json::Value{Json::arrayValue};
        corrupted[member].append(true);
        EXPECT_FALSE(succeeded(decode_announcement(corrupted))) << member;
    }
}

TEST(membership_codec, decodes_what_was_encoded) {
    host_record host{
        host_id{"h"},           {UINT64_MAX},          3, host_state::suspect, true, data_center_id{"dc"},
        endpoint{"10.0.0.1:1"}, endpoint{"10.0.0.1:2"}};
    const target_record target{valid_announcement(), host_id{"h"}, true, 2, 1};
    const membership_updates updates{{host}, {target}};
    sync_reply reply{7, host_id{"h"}, 3, {1, 2}, true, {target_id{"t1"}}, updates};
    const std::vector<membership_message> messages{
        probe_request{1, host_id{"h"}, host_id{"i"}, true, updates},
        probe_reply{1, host_id{"h"}, host_id{"i"}, updates},
        update_push{host_id{"h"}, updates},
        update_push{host_id{"h"}, updates, UINT64_MAX},
        push_confirmation{UINT64_MAX, host_id{"h"}},
        sync_request{2, host_id{"h"}, 254, {1, UINT32_MAX}, 9},
        reply};
    for (const membership_message& message : messages) {
        const auto decoded = decode_membership_message(encode_membership_message(message));
        ASSERT_TRUE(succeeded(decoded));
        EXPECT_EQ(value_of(decoded), message);
    }
    EXPECT_FALSE(succeeded(decode_membership_message(Json::Value{"x"})));
}

} // namespace
} // namespace tamarack
