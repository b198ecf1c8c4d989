#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace tamarack {
namespace {

std::vector<host_id> make_hosts(std::size_t count, std::size_t first = 0) {
    std::vector<host_id> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        hosts.emplace_back("h" + std::to_string(first + index));
    }
    return hosts;
}

replica_place place_of(std::uint32_t shard, std::uint32_t replica) {
    return {service_id{"s"}, shard_id{std::to_string(shard)}, replica};
}

replica_share operator+(const replica_share& left, const replica_share& right) {
    return {left.slots + right.slots, left.connections + right.connections};
}

RC_GTEST_PROP(share_of_property, shares_sum_to_the_limits, ()) {
    const auto hosts = make_hosts(*rc::gen::inRange<std::size_t>(1, 60));
    const replica_share limits{*rc::gen::inRange<std::uint32_t>(0, 200),
                               *rc::gen::inRange<std::uint32_t>(0, 400)};
    const auto place =
        place_of(*rc::gen::inRange<std::uint32_t>(0, 100), *rc::gen::arbitrary<std::uint32_t>());
    replica_share sum;
    for (const host_id& host : hosts) {
        const replica_share share = share_of(place, limits, hosts, host);
        sum = sum + share;
        RC_ASSERT(share.slots == 0 || share.connections > 0 || limits.connections < limits.slots);
    }
    RC_ASSERT(sum == limits);
    RC_ASSERT(share_of(place, limits, hosts, host_id{"stranger"}) == replica_share{});
}

RC_GTEST_PROP(share_of_property, each_host_reaches_each_shard_when_slots_suffice, ()) {
    const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(1, 8);
    const std::uint32_t replicas = *rc::gen::inRange<std::uint32_t>(1, 8);
    const auto hosts = make_hosts(*rc::gen::inRange<std::size_t>(1, slots * replicas + 1));
    const std::uint32_t shard = *rc::gen::inRange<std::uint32_t>(0, 50);
    for (const host_id& host : hosts) {
        std::uint32_t reached = 0;
        for (std::uint32_t replica = 0; replica < replicas; ++replica) {
            reached += share_of(place_of(shard, replica), {slots, slots * 4}, hosts, host).slots;
        }
        RC_ASSERT(reached > 0U);
    }
}

/** A host's progress through the epochs, which determines the share that it may use. */
struct sharing_host {
    std::size_t epoch = 0;
    bool knows_settled = true;
};

struct sharing_run {
    std::vector<std::vector<host_id>> epochs;
    std::vector<sharing_host> hosts;
    replica_place place;
    replica_share limits;

    replica_share use(std::size_t host) const {
        const host_id name{"h" + std::to_string(host)};
        const std::size_t epoch = hosts[host].epoch;
        const replica_share after = share_of(place, limits, epochs[epoch], name);
        if (epoch == 0) {
            return after;
        }
        return share_during_change(share_of(place, limits, epochs[epoch - 1], name), after,
                                   hosts[host].knows_settled);
    }

    bool settled(std::size_t epoch) const {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host.epoch >= epoch; });
    }

    bool within_limits() const {
        replica_share sum;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            sum = sum + use(host);
        }
        return sum.slots <= limits.slots && sum.connections <= limits.connections;
    }
};

sharing_run make_run() {
    sharing_run run;
    run.hosts.resize(6);
    run.place = place_of(*rc::gen::inRange<std::uint32_t>(0, 9), *rc::gen::inRange<std::uint32_t>(0, 9));
    run.limits = {*rc::gen::inRange<std::uint32_t>(1, 9), *rc::gen::inRange<std::uint32_t>(1, 30)};
    return run;
}

std::vector<host_id> random_hosts() {
    std::vector<host_id> hosts;
    for (const host_id& host : make_hosts(6)) {
        if (*rc::gen::arbitrary<bool>()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

/**
 * Hosts advance through the epochs in any order, each at its own time. A host that is cut off stays behind,
 * and its share still counts.
 */
bool stays_within_limits(bool wait_for_settled) {
    sharing_run run = make_run();
    run.epochs = {random_hosts()};
    for (int step = 0; step < 60; ++step) {
        const std::size_t latest = run.epochs.size() - 1;
        const bool may_plan = !wait_for_settled || run.settled(latest);
        if (may_plan && *rc::gen::inRange(0, 8) == 0) {
            run.epochs.push_back(random_hosts());
            continue;
        }
        sharing_host& host = run.hosts[*rc::gen::inRange<std::size_t>(0, run.hosts.size())];
        if (host.epoch < latest) {
            host = {latest, false};
        } else if (run.settled(host.epoch)) {
            host.knows_settled = true;
        }
        if (!run.within_limits()) {
            return false;
        }
    }
    return true;
}

RC_GTEST_PROP(share_during_change_property, sum_stays_within_the_limits_at_any_interleaving, ()) {
    RC_ASSERT(stays_within_limits(true));
}

TEST(share_during_change_check, planning_before_the_last_epoch_settled_breaks_the_limits) {
    sharing_run run;
    run.place = place_of(0, 0);
    run.limits = {1, 1};
    run.epochs = {{host_id{"h0"}}, {host_id{"h1"}}, {host_id{"h1"}}};
    run.hosts = {{0, true}, {2, false}};
    EXPECT_FALSE(run.within_limits());
}

configuration services(std::size_t count, std::uint32_t entry_hosts) {
    configuration wanted;
    for (std::size_t index = 0; index < count; ++index) {
        service_definition service;
        service.id = service_id{"s" + std::to_string(index)};
        service.entry_hosts = entry_hosts;
        wanted.services[service.id] = service;
    }
    return wanted;
}

std::vector<candidate_host> candidates(std::size_t count, std::size_t data_centers) {
    std::vector<candidate_host> hosts;
    for (const host_id& host : make_hosts(count)) {
        hosts.push_back({host, data_center_id{"dc" + std::to_string(hosts.size() % data_centers)}, false});
    }
    return hosts;
}

std::map<host_id, std::size_t> services_of(const assignment& assigned) {
    std::map<host_id, std::size_t> counts;
    for (const auto& [service, hosts] : assigned.services) {
        for (const host_id& host : hosts) {
            ++counts[host];
        }
    }
    return counts;
}

TEST(plan_assignment, spreads_evenly_over_hosts_and_data_centers) {
    const configuration wanted = services(53, 3);
    const auto planned = plan_assignment({}, wanted, candidates(10, 4));
    ASSERT_TRUE(planned);
    EXPECT_EQ(planned->epoch, 1U);
    std::size_t least = SIZE_MAX;
    std::size_t most = 0;
    for (const auto& [host, count] : services_of(*planned)) {
        least = std::min(least, count);
        most = std::max(most, count);
    }
    EXPECT_LE(most - least, 1U);
    for (const auto& [service, hosts] : planned->services) {
        std::set<std::size_t> places;
        for (const host_id& host : hosts) {
            places.insert(std::stoul(host.value().substr(1)) % 4);
        }
        EXPECT_EQ(places.size(), 3U) << service.value();
    }
    EXPECT_FALSE(plan_assignment(*planned, wanted, candidates(10, 4)));
}

TEST(plan_assignment, moves_little_when_a_host_is_lost_drained_or_added) {
    const configuration wanted = services(53, 3);
    const auto before = *plan_assignment({}, wanted, candidates(10, 4));
    auto fewer = candidates(10, 4);
    fewer[3].draining = true;
    const auto after = *plan_assignment(before, wanted, fewer);
    std::size_t moved = 0;
    for (const auto& [service, hosts] : after.services) {
        for (const host_id& host : hosts) {
            EXPECT_NE(host, host_id{"h3"});
            const auto& old = before.services.at(service);
            moved += std::find(old.begin(), old.end(), host) == old.end() ? 1 : 0;
        }
    }
    const std::size_t lost = services_of(before).at(host_id{"h3"});
    EXPECT_LE(moved, lost + lost / 2);
    EXPECT_EQ(after, *plan_assignment(before, wanted, fewer));
}

TEST(plan_assignment, keeps_to_the_bounds_and_to_what_operators_drain) {
    configuration wanted = services(1, 8);
    wanted.hosts[host_id{"h0"}] = {host_id{"h0"}, host_intent::draining};
    const auto bounded = plan_assignment({}, wanted, candidates(10, 2), {{service_id{"s0"}, 6}});
    EXPECT_EQ(bounded->services.at(service_id{"s0"}).size(), 6U);
    const auto few = plan_assignment({}, wanted, candidates(3, 2));
    EXPECT_EQ(few->services.at(service_id{"s0"}).size(), 2U);
    const auto none = plan_assignment({}, wanted, {});
    EXPECT_TRUE(none->services.at(service_id{"s0"}).empty());
    const auto decoded = decode_assignment(encode_assignment(*bounded));
    ASSERT_TRUE(succeeded(decoded));
    EXPECT_EQ(value_of(decoded), *bounded);
}

directory_view view_of(std::size_t hosts, std::size_t data_centers) {
    directory_view view;
    for (const candidate_host& candidate : candidates(hosts, data_centers)) {
        host_record record;
        record.host = candidate.host;
        record.data_center = candidate.data_center;
        record.callers_address = endpoint{candidate.host.value()};
        view.hosts.push_back(record);
        view.assigned.services[service_id{"s"}].push_back(candidate.host);
    }
    view.ticket = ticket_number{4};
    return view;
}

directory_answer ask(const directory_view& view, std::uint64_t caller = 1, const std::string& near = "") {
    return value_of(find_entries(view, service_id{"s"}, data_center_id{near}, caller, 30s));
}

TEST(find_entries, lists_running_hosts_only_with_near_ones_first) {
    directory_view view = view_of(6, 2);
    view.hosts[0].state = host_state::dead;
    view.hosts[1].draining = true;
    view.hosts[2].state = host_state::left;
    view.hosts[4].state = host_state::suspect;
    const directory_answer answer = ask(view, 1, "dc1");
    EXPECT_EQ(answer.ticket, ticket_number{4});
    EXPECT_EQ(answer.ttl, 30s);
    EXPECT_EQ(answer.addresses.size(), 3U);
    EXPECT_EQ(answer.addresses[2], endpoint{"h4"});
    EXPECT_FALSE(succeeded(find_entries(view, service_id{"x"}, {}, 1, 30s)));
}

TEST(find_entries, falls_back_to_other_hosts_then_to_draining_ones) {
    directory_view view = view_of(3, 1);
    view.assigned.services[service_id{"s"}] = {host_id{"h0"}};
    view.hosts[0].state = host_state::dead;
    EXPECT_EQ(ask(view).addresses.size(), 2U);
    EXPECT_LT(ask(view).ttl, 30s);
    view.hosts[1].draining = true;
    view.hosts[2].state = host_state::dead;
    EXPECT_EQ(ask(view).addresses, std::vector<endpoint>{endpoint{"h1"}});
    view.hosts[1].state = host_state::dead;
    EXPECT_FALSE(succeeded(find_entries(view, service_id{"s"}, {}, 1, 30s)));
}

TEST(find_entries, spreads_callers_evenly) {
    const directory_view view = view_of(10, 4);
    std::map<endpoint, double> first;
    constexpr std::uint64_t callers = 20'000;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        ++first[ask(view, caller).addresses.front()];
    }
    double highest = 0;
    for (const auto& [address, count] : first) {
        highest = std::max(highest, count);
    }
    EXPECT_LT(highest / (static_cast<double>(callers) / 10), 1.1);
}

} // namespace
} // namespace tamarack
