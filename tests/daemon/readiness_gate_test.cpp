#include "hosts/readiness_gate.h"

#include <gtest/gtest.h>

#include <memory>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** A view of a service with two shards; only the given shards have a replica with a slot for this host. */
serving_view view_reaching(const std::vector<shard_id>& shards) {
    service_view service;
    service.definition.id = service_id{"parts"};
    service.definition.maps = {{"m1", {shard_id{"s1"}, shard_id{"s2"}}}};
    for (const shard_id& shard : shards) {
        replica_view replica;
        replica.shard = shard;
        replica.slots = 1;
        replica.versions = {{index_version{"v1"}, "m1"}};
        service.replicas.push_back(replica);
    }
    serving_view view;
    view.services.emplace(service.definition.id, service);
    return view;
}

readiness_inputs inputs_with(const serving_view& view) {
    readiness_inputs inputs;
    inputs.holds_lease = true;
    inputs.hosts_known = 3;
    inputs.assigned = true;
    inputs.view = &view;
    return inputs;
}

TEST(readiness_gate, opens_once_each_shard_can_be_reached) {
    readiness_gate gate;
    const serving_view half = view_reaching({shard_id{"s1"}});
    const serving_view whole = view_reaching({shard_id{"s1"}, shard_id{"s2"}});
    EXPECT_FALSE(gate.open(start, inputs_with(half)));
    EXPECT_TRUE(gate.open(start, inputs_with(whole)));
    EXPECT_TRUE(gate.open(start, inputs_with(half))) << "an open gate stays open";
}

TEST(readiness_gate, stays_closed_without_a_lease_or_while_isolated) {
    const serving_view whole = view_reaching({shard_id{"s1"}, shard_id{"s2"}});
    readiness_gate gate;
    readiness_inputs inputs = inputs_with(whole);
    inputs.holds_lease = false;
    EXPECT_FALSE(gate.open(start + 1h, inputs));
    inputs = inputs_with(whole);
    inputs.isolated = true;
    EXPECT_FALSE(gate.open(start + 1h, inputs));
}

TEST(readiness_gate, opens_after_the_maximum_wait_without_replicas) {
    const serving_view empty = view_reaching({});
    readiness_gate gate;
    EXPECT_FALSE(gate.open(start, inputs_with(empty)));
    EXPECT_TRUE(gate.open(start + 1min, inputs_with(empty)));
}

} // namespace
} // namespace tamarack
