#include "ticket_checks.h"

#include "object_checks.h"
#include "route_checks.h"

#include <set>

namespace tamarack {

namespace {

constexpr std::size_t max_services = 10'000;
constexpr std::size_t max_limits = 100'000;
constexpr std::size_t max_rules = 10'000;
constexpr std::size_t max_hosts = 10'000;

limits_key key_of(const service_definition& service) {
    return {service.id, shard_id{}};
}
limits_key key_of(const replica_limits& limits) {
    return {limits.service, limits.shard};
}
std::string key_of(const routing_rule& rule) {
    return rule.name;
}
host_id key_of(const host_order& order) {
    return order.host;
}

/** Checks each item of a list in isolation, and checks that no key occurs twice. */
template <typename Item, typename Check>
void check_items(const std::string& list, const std::vector<Item>& items, Check check, fault_list& faults) {
    std::set<decltype(key_of(items.front()))> seen;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const std::string path = item_path(list, index);
        check(path, items[index], faults);
        if (!seen.insert(key_of(items[index])).second) {
            faults.add(path, "occurs twice");
        }
    }
}

/** Checks that each removed object exists, is listed once, and is not defined by the same ticket. */
template <typename Key, typename Existing, typename IsDefined>
void check_removals(const std::string& list, const std::vector<Key>& removed, const Existing& existing,
                    IsDefined is_defined, fault_list& faults) {
    std::set<Key> seen;
    for (std::size_t index = 0; index < removed.size(); ++index) {
        const std::string path = item_path("removals." + list, index);
        if (!seen.insert(removed[index]).second) {
            faults.add(path, "occurs twice");
        }
        if (!existing.contains(removed[index])) {
            faults.add(path, "does not exist");
        }
        if (is_defined(removed[index])) {
            faults.add(path, "is both removed and defined by the same ticket");
        }
    }
}

template <typename Items, typename Key>
bool any_with_key(const Items& items, const Key& key) {
    for (const auto& item : items) {
        if (key_of(item) == key) {
            return true;
        }
    }
    return false;
}

void check_all_removals(const ticket& candidate, const configuration& current, fault_list& faults) {
    const ticket_removals& removed = candidate.removals;
    check_removals(
        "services", removed.services, current.services,
        [&](const service_id& id) {
            return any_with_key(candidate.services, limits_key{id, shard_id{}});
        },
        faults);
    check_removals(
        "limits", removed.limits, current.limits,
        [&](const limits_key& key) { return any_with_key(candidate.limits, key); }, faults);
    check_removals(
        "rules", removed.rules, current.rules,
        [&](const std::string& name) { return any_with_key(candidate.rules, name); }, faults);
    check_removals(
        "hosts", removed.hosts, current.hosts,
        [&](const host_id& host) { return any_with_key(candidate.hosts, host); }, faults);
}

bool has_shard(const service_definition& service, const shard_id& shard) {
    for (const auto& map : service.maps) {
        for (const auto& listed : map.shards) {
            if (listed == shard) {
                return true;
            }
        }
    }
    return false;
}

/** Checks that the service and the shard that limits or a rule refer to exist once the ticket is applied. */
void check_reference(const std::string& path, const service_id& service, const shard_id& shard,
                     const configuration& after, fault_list& faults) {
    const auto found = after.services.find(service);
    if (found == after.services.end()) {
        faults.add(path + ".service", "names an unknown service: " + service.value());
        return;
    }
    if (!shard.empty() && !has_shard(found->second, shard)) {
        faults.add(path + ".shard", "names a shard that is not in " + service.value() + ": " + shard.value());
    }
}

/** @return the path of an item: by its index in the ticket, or by its key if the ticket doesn't contain it */
template <typename Items>
std::string path_in(const std::string& list, const Items& items, const std::string& key, std::size_t index) {
    return index < items.size() ? item_path(list, index) : list + "[" + key + "]";
}

template <typename Items, typename Key>
std::size_t position_of(const Items& items, const Key& key) {
    std::size_t index = 0;
    while (index < items.size() && !(key_of(items[index]) == key)) {
        ++index;
    }
    return index;
}

/**
 * Checks the references of the whole resulting configuration: a ticket can also break references of objects
 * that it doesn't change.
 */
void check_references(const ticket& candidate, const configuration& after, fault_list& faults) {
    for (const auto& [key, limits] : after.limits) {
        const std::string name = key.first.value() + "/" + key.second.value();
        const std::string path =
            path_in("limits", candidate.limits, name, position_of(candidate.limits, key));
        check_reference(path, limits.service, limits.shard, after, faults);
    }
    for (const auto& [name, rule] : after.rules) {
        const std::string path = path_in("rules", candidate.rules, name, position_of(candidate.rules, name));
        check_reference(path, rule.service, shard_id{}, after, faults);
    }
}

void check_sizes(const configuration& after, fault_list& faults) {
    faults.check_count("services", after.services.size(), 0, max_services);
    faults.check_count("limits", after.limits.size(), 0, max_limits);
    faults.check_count("rules", after.rules.size(), 0, max_rules);
    faults.check_count("hosts", after.hosts.size(), 0, max_hosts);
}

} // namespace

ticket_faults check_ticket(const ticket& candidate, const configuration& current) {
    fault_list faults;
    if (candidate.number.value == 0) {
        faults.add("number", "must be 1 or more");
    }
    check_items("services", candidate.services, check_service, faults);
    check_items("limits", candidate.limits, check_limits, faults);
    check_items("rules", candidate.rules, check_rule, faults);
    check_items("hosts", candidate.hosts, check_host_order, faults);
    if (candidate.routes) {
        check_route_table(*candidate.routes, faults);
    }
    check_all_removals(candidate, current, faults);
    const configuration after = apply_ticket(candidate, current, digest{});
    check_references(candidate, after, faults);
    check_sizes(after, faults);
    return faults.take();
}

} // namespace tamarack
