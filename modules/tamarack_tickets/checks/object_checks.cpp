#include "object_checks.h"

#include <set>

namespace tamarack {

namespace {

constexpr std::size_t max_maps = 16;
constexpr std::size_t max_shards = 10'000;
constexpr std::uint32_t max_entry_hosts = 1'000;
constexpr std::uint32_t max_requests = 1'000'000;
constexpr std::uint32_t max_exchanges = 65'535;
constexpr std::size_t max_preferred = 64;

template <typename Id>
void check_distinct_names(const std::string& path, const std::vector<Id>& ids, fault_list& faults) {
    std::set<Id> seen;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        faults.check_name(item_path(path, index), ids[index].value());
        if (!seen.insert(ids[index]).second) {
            faults.add(item_path(path, index), "repeats " + ids[index].value());
        }
    }
}

void check_maps(const std::string& path, const std::vector<shard_map>& maps, fault_list& faults) {
    faults.check_count(path, maps.size(), 1, max_maps);
    std::set<std::string> names;
    for (std::size_t index = 0; index < maps.size(); ++index) {
        const std::string map_path = item_path(path, index);
        faults.check_name(map_path + ".name", maps[index].name);
        if (!names.insert(maps[index].name).second) {
            faults.add(map_path + ".name", "repeats " + maps[index].name);
        }
        faults.check_count(map_path + ".shards", maps[index].shards.size(), 1, max_shards);
        check_distinct_names(map_path + ".shards", maps[index].shards, faults);
    }
}

} // namespace

std::string item_path(const std::string& list, std::size_t index) {
    return list + "[" + std::to_string(index) + "]";
}

void check_service(const std::string& path, const service_definition& service, fault_list& faults) {
    faults.check_name(path + ".id", service.id.value());
    check_maps(path + ".maps", service.maps, faults);
    faults.check_share(path + ".least_coverage", service.least_coverage, 0, 1);
    faults.check_time(path + ".default_deadline_ms", service.default_deadline);
    faults.check_count(path + ".entry_hosts", service.entry_hosts, 1, max_entry_hosts);
    faults.check_time(path + ".objectives.latency_ms", service.objectives.latency);
    faults.check_share(path + ".objectives.good_share", service.objectives.good_share, 0, 1);
    faults.check_share(path + ".budgets.extra_load", service.budgets.extra_load, 0, 1);
    faults.check_count(path + ".budgets.queued_requests", service.budgets.queued_requests, 0, max_requests);
    faults.check_count(path + ".budgets.running_requests", service.budgets.running_requests, 1, max_requests);
}

void check_limits(const std::string& path, const replica_limits& limits, fault_list& faults) {
    faults.check_name(path + ".service", limits.service.value());
    if (!limits.shard.empty()) {
        faults.check_name(path + ".shard", limits.shard.value());
    }
    faults.check_count(path + ".slots", limits.slots, 1, max_exchanges);
    faults.check_count(path + ".connections", limits.connections, 1, max_exchanges);
}

void check_rule(const std::string& path, const routing_rule& rule, fault_list& faults) {
    faults.check_name(path + ".name", rule.name);
    faults.check_name(path + ".service", rule.service.value());
    if (!rule.from.empty()) {
        faults.check_name(path + ".from", rule.from.value());
    }
    faults.check_count(path + ".prefer", rule.prefer.size(), 1, max_preferred);
    check_distinct_names(path + ".prefer", rule.prefer, faults);
}

void check_host_order(const std::string& path, const host_order& order, fault_list& faults) {
    faults.check_name(path + ".host", order.host.value());
}

} // namespace tamarack
