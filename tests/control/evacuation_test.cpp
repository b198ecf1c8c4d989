#include "control_world.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

const data_center_id north{"north"};
const data_center_id south{"south"};
/** Time in which an acknowledged order must be known to every host that is in contact. */
constexpr duration order_time = 5s;

std::string all_violations(control_world& world) {
    std::string text;
    for (const auto& violation : world.checks().violations()) {
        text += violation + "\n";
    }
    return text;
}

void start_with_ticket(control_world& world) {
    world.boot();
    world.submit(world_ticket(1, 5), 0);
    ASSERT_TRUE(world.run_until([&] { return world.checks().reported_in_force() == ticket_number{1}; }, 10s));
}

void crash_all(control_world& world) {
    for (std::size_t index = 0; index < world.control_count(); ++index) {
        world.control(index).crash();
    }
    for (std::size_t index = 0; index < world.entry_count(); ++index) {
        world.entry(index).crash();
    }
}

TEST(evacuation_orders, count_changes_only) {
    evacuation_orders orders;
    orders.apply({north, false});
    EXPECT_EQ(orders.epoch, 0U);
    orders.apply({north, true});
    orders.apply({north, true});
    EXPECT_EQ(orders, (evacuation_orders{1, {north}}));
    orders.apply({south, true});
    orders.apply({north, false});
    EXPECT_EQ(orders, (evacuation_orders{3, {south}}));
}

TEST(evacuation_orders, are_kept_in_the_saved_state) {
    control_state state;
    const std::string before = state.save();
    EXPECT_EQ(before.find("evacuations"), std::string::npos) << "earlier versions refuse unknown members";
    state.apply({wall_time{1}, evacuation_order{north, true}});
    control_state restored;
    ASSERT_TRUE(succeeded(restored.restore(state.save())));
    EXPECT_EQ(restored.evacuations(), (evacuation_orders{1, {north}}));
    EXPECT_EQ(restored.save(), state.save());
    ASSERT_TRUE(succeeded(restored.restore(before)));
    EXPECT_EQ(restored.evacuations(), evacuation_orders{});
}

/** Guards against hosts of earlier versions that refuse messages, and so lose their leases, without an order.
 */
TEST(evacuation_orders, add_nothing_to_messages_before_the_first_order) {
    renew_lease renewal;
    EXPECT_FALSE(encode_control_message(renewal).isMember("evacuation_epoch"));
    EXPECT_FALSE(encode_control_message(announce_update{}).isMember("evacuation_epoch"));
    EXPECT_FALSE(encode_control_message(lease_granted{}).isMember("evacuations"));
    lease_granted granted;
    granted.evacuations = evacuation_orders{2, {north, south}};
    const auto read = decode_control_message(encode_control_message(granted));
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(std::get<lease_granted>(value_of(read)).evacuations, granted.evacuations);
    Json::Value damaged = encode_control_message(granted);
    damaged["evacuations"]["data_centers"] = 7;
    EXPECT_FALSE(succeeded(decode_control_message(damaged)));
    renewal.held_evacuations = 2;
    const auto reread = decode_control_message(encode_control_message(renewal));
    ASSERT_TRUE(succeeded(reread));
    EXPECT_EQ(std::get<renew_lease>(value_of(reread)).held_evacuations, 2U);
}

TEST(evacuation, is_known_everywhere_soon_after_its_acknowledgement_until_withdrawn) {
    control_world world{{}};
    start_with_ticket(world);
    world.order({north, true}, 0);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 1; }, 6s));
    EXPECT_TRUE(world.run_until([&] { return world.all_know({north}); }, 500ms)) << "announced at once";
    world.order({north, true}, 1);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 2; }, 6s));
    EXPECT_EQ(world.control(world.leader()).node().state().evacuations().epoch, 1U);
    world.order({north, false}, 2);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 3; }, 6s));
    EXPECT_TRUE(world.run_until([&] { return world.all_know({}); }, order_time));
    world.settle_and_check();
    EXPECT_EQ(all_violations(world), "");
}

/** Guards against orders that take effect only with the announcement, which can be lost. */
TEST(evacuation, is_known_to_a_host_that_was_cut_off_soon_after_its_return) {
    control_world world{{}};
    start_with_ticket(world);
    world.isolate(world.entry(0).self());
    world.order({north, true}, 0);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 1; }, 6s));
    world.run(2s);
    EXPECT_FALSE(world.all_know({north}));
    world.network().heal();
    EXPECT_TRUE(world.run_until([&] { return world.all_know({north}); }, order_time));
}

/** The leader commits the order and crashes, and the operator never sees its answer. */
TEST(evacuation, survives_a_leader_lost_between_acceptance_and_acknowledgement) {
    control_world world{{}};
    start_with_ticket(world);
    const std::size_t lost = world.leader();
    world.lose_order_answers(true);
    world.order({north, true}, lost);
    ASSERT_TRUE(world.run_until(
        [&] { return world.control(lost).node().state().evacuations().data_centers.contains(north); }, 6s));
    world.control(lost).crash();
    world.lose_order_answers(false);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 1; }, 10s));
    EXPECT_TRUE(world.run_until([&] { return world.all_know({north}); }, order_time));
    EXPECT_EQ(world.control(world.leader()).node().state().evacuations().epoch, 1U);
    world.settle_and_check();
    EXPECT_EQ(all_violations(world), "");
}

TEST(evacuation, survives_the_loss_of_a_disk_and_a_restart_of_all_hosts_from_snapshots) {
    world_options options;
    options.control.min_entries_per_snapshot = 20;
    control_world world{options};
    start_with_ticket(world);
    world.order({north, true}, 0);
    world.order({south, true}, 0);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 2; }, 10s));
    for (std::uint64_t number = 2; number <= 100; ++number) {
        world.submit(world_ticket(number, 5), world.leader() % world.control_count());
        world.run(20ms);
    }
    world.control(1).lose_disk();
    world.control(1).start();
    world.run(10s);
    crash_all(world);
    world.settle_and_check();
    EXPECT_TRUE(world.all_know({north, south}));
    EXPECT_EQ(all_violations(world), "");
}

/** Guards against exchanges to evacuated targets from a host that knows a ticket but not the orders. */
TEST(evacuation, is_unknown_to_a_restarted_host_only_until_its_first_grant) {
    control_world world{{}};
    start_with_ticket(world);
    world.order({north, true}, 0);
    ASSERT_TRUE(world.run_until([&] { return world.acknowledged_orders() == 1; }, 6s));
    crash_all(world);
    for (std::size_t index = 0; index < world.control_count(); ++index) {
        world.control(index).start();
    }
    world.entry(0).start();
    bool known_too_early = false;
    bool served_unknowing = false;
    const auto settled = [&] {
        const control_client& client = world.entry(0).client();
        known_too_early |= client.evacuations_known() && !client.evacuations().data_centers.contains(north);
        served_unknowing |= world.entry(0).may_serve() && !client.evacuations_known();
        return client.evacuations_known();
    };
    EXPECT_TRUE(world.run_until(settled, 20s));
    EXPECT_FALSE(known_too_early);
    EXPECT_FALSE(served_unknowing);
}

TEST(evacuation, of_too_many_data_centers_is_refused) {
    control_world world{{}};
    start_with_ticket(world);
    for (std::size_t number = 0; number <= max_evacuated_data_centers; ++number) {
        world.order({data_center_id{"d" + std::to_string(number)}, true}, world.leader());
        world.run(100ms);
    }
    EXPECT_EQ(world.control(world.leader()).node().state().evacuations().data_centers.size(),
              max_evacuated_data_centers);
}

} // namespace
} // namespace tamarack
