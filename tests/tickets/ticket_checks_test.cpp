#include <tamarack_tickets/tamarack_tickets.h>

#include <gtest/gtest.h>

#include "sample_tickets.h"

#include <functional>

namespace tamarack {
namespace {

/** A change that makes the sample ticket invalid, and the path at which the fault is reported. */
struct invalid_ticket {
    std::string path;
    std::function<void(ticket&)> invalidate;
};

TEST(ticket_checks, find_the_only_fault_of_each_invalid_ticket) {
    const std::vector<invalid_ticket> cases{
        {"number", [](ticket& value) { value.number = {}; }},
        {"services[0].maps", [](ticket& value) { value.services[0].maps.clear(); }},
        {"services[0].maps[0].shards", [](ticket& value) { value.services[0].maps[0].shards.clear(); }},
        {"services[0].maps[0].shards[1]",
         [](ticket& value) { value.services[0].maps[0].shards[1] = shard_id{"s0"}; }},
        {"services[0].maps[0].name", [](ticket& value) { value.services[0].maps[0].name = "\n"; }},
        {"services[0].least_coverage", [](ticket& value) { value.services[0].least_coverage = 1.01; }},
        {"services[0].default_deadline_ms", [](ticket& value) { value.services[0].default_deadline = 0ms; }},
        {"services[0].entry_hosts", [](ticket& value) { value.services[0].entry_hosts = 0; }},
        {"services[0].budgets.extra_load",
         [](ticket& value) { value.services[0].budgets.extra_load = -0.1; }},
        {"services[1]", [](ticket& value) { value.services.push_back(value.services[0]); }},
        {"limits[0].slots", [](ticket& value) { value.limits[0].slots = 0; }},
        {"limits[0].connections", [](ticket& value) { value.limits[0].connections = 70'000; }},
        {"limits[0].shard", [](ticket& value) { value.limits[0].shard = shard_id{"s9"}; }},
        {"limits[0].service", [](ticket& value) { value.limits[0].service = service_id{"other"}; }},
        {"rules[0].service", [](ticket& value) { value.rules[0].service = service_id{"other"}; }},
        {"rules[0].prefer", [](ticket& value) { value.rules[0].prefer.clear(); }},
        {"rules[0].name", [](ticket& value) { value.rules[0].name = std::string(129, 'n'); }},
        {"hosts[0].host",
         [](ticket& value) {
             value.hosts = {{host_id{}, host_intent::active}};
         }},
        {"removals.rules[0]", [](ticket& value) { value.removals.rules = {"unheard of"}; }},
    };
    for (const auto& item : cases) {
        ticket candidate = sample_ticket(1);
        item.invalidate(candidate);
        const ticket_faults faults = check_ticket(candidate, {});
        ASSERT_EQ(faults.size(), 1U) << item.path;
        EXPECT_EQ(faults[0].path, item.path);
        EXPECT_FALSE(faults[0].problem.empty());
    }
    EXPECT_TRUE(check_ticket(sample_ticket(1), {}).empty());
}

TEST(ticket_checks, find_references_that_a_ticket_would_leave_dangling) {
    const configuration current = apply_ticket(sample_ticket(1), {});
    ticket removal;
    removal.number = ticket_number{2};
    removal.removals.services = {service_id{"finder"}};
    EXPECT_EQ(check_ticket(removal, current).size(), 2U);
    removal.removals.limits = {{service_id{"finder"}, shard_id{}}};
    removal.removals.rules = {"near"};
    EXPECT_TRUE(check_ticket(removal, current).empty());
    EXPECT_TRUE(apply_ticket(removal, current).services.empty());
}

TEST(ticket_checks, refuse_to_remove_and_define_an_object_at_once) {
    const configuration current = apply_ticket(sample_ticket(1), {});
    ticket both = sample_ticket(2);
    both.removals.rules = {"near"};
    const auto faults = check_ticket(both, current);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].path, "removals.rules[0]");
}

TEST(ticket_checks, describe_what_a_ticket_changes) {
    const configuration before = apply_ticket(sample_ticket(1), {});
    ticket change = sample_ticket(2, 9);
    change.hosts = {{host_id{"h1"}, host_intent::draining}};
    EXPECT_EQ(describe_difference(before, apply_ticket(change, before)),
              (std::vector<std::string>{"limits finder: changed", "host h1: added"}));
}

TEST(configuration, limits_of_a_shard_go_before_those_of_its_service) {
    ticket change = sample_ticket(1);
    change.limits.push_back({service_id{"finder"}, shard_id{"s1"}, 9, 9});
    const configuration current = apply_ticket(change, {});
    EXPECT_EQ(current.limits_for(service_id{"finder"}, shard_id{"s0"}).slots, 5U);
    EXPECT_EQ(current.limits_for(service_id{"finder"}, shard_id{"s1"}).slots, 9U);
    EXPECT_EQ(current.limits_for(service_id{"none"}, shard_id{"s1"}).slots, 1U);
}

} // namespace
} // namespace tamarack
