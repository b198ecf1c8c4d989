#include "view_builder.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace tamarack {

namespace {

const std::vector<host_id>& hosts_of(const assignment& assigned, const service_id& service) {
    static const std::vector<host_id> none;
    const auto found = assigned.services.find(service);
    return found == assigned.services.end() ? none : found->second;
}

/** @return the lower of the ticket's and the target's own limits */
replica_share limits_of(const configuration& current, const announcement& target) {
    const replica_limits limits = current.limits_for(target.service, target.shard);
    return {std::min(limits.slots, target.slots), std::min(limits.connections, target.connections)};
}

replica_share share_of_host(const view_sources& sources, const announcement& target, const host_id& host) {
    const replica_place place{target.service, target.shard, target.replica};
    const replica_share limits = limits_of(sources.control.current(), target);
    const auto& before = hosts_of(sources.control.assigned_before(), target.service);
    const auto& after = hosts_of(sources.control.assigned(), target.service);
    return share_during_change(share_of(place, limits, before, host), share_of(place, limits, after, host),
                               sources.control.assignment_settled());
}

/** @return the rank of the target's data centre: by the preference of the routing rule if one applies, else
 * this host's own data centre before all others */
std::uint32_t distance_of(const view_sources& sources, const announcement& target) {
    for (const auto& [name, rule] : sources.control.current().rules) {
        const bool applies =
            rule.service == target.service && (rule.from.empty() || rule.from == sources.data_center);
        if (!applies) {
            continue;
        }
        const auto found = std::find(rule.prefer.begin(), rule.prefer.end(), target.data_center);
        return static_cast<std::uint32_t>(found - rule.prefer.begin());
    }
    return target.data_center == sources.data_center ? 0 : 1;
}

replica_view build_replica(const view_sources& sources, const announcement& target, time_point now) {
    const replica_share share = share_of_host(sources, target, sources.self);
    replica_view view;
    view.target = target.target;
    view.incarnation = target.incarnation;
    view.address = target.address;
    view.data_center = target.data_center;
    view.shard = target.shard;
    for (const served_version& served : target.versions) {
        view.versions.push_back({served.version, served.map});
    }
    view.slots = share.slots;
    view.connections = share.connections;
    view.distance = distance_of(sources, target);
    view.reported_load = target.load.running + target.load.queued;
    view.reported_at = now;
    return view;
}

/** @return whether a host has a slot at some replica of each shard that has replicas */
bool reaches_each_shard(const view_sources& sources, const std::vector<target_record>& targets,
                        const host_id& host) {
    std::map<shard_id, bool> reached;
    for (const target_record& record : targets) {
        const bool has_slot = share_of_host(sources, record.latest, host).slots > 0;
        bool& known = reached[record.latest.shard];
        known = known || has_slot;
    }
    return std::all_of(reached.begin(), reached.end(), [](const auto& shard) { return shard.second; });
}

} // namespace

assignment assigned_in_reach(const view_sources& sources) {
    assignment in_reach = sources.control.assigned();
    for (auto& [service, hosts] : in_reach.services) {
        const std::vector<target_record> targets = sources.targets.usable(service);
        std::vector<host_id> reaching;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(reaching),
                     [&](const host_id& host) { return reaches_each_shard(sources, targets, host); });
        if (!reaching.empty()) {
            hosts = std::move(reaching);
        }
    }
    return in_reach;
}

built_view build_serving_view(const view_sources& sources, time_point now) {
    auto view = std::make_shared<serving_view>();
    auto cancellable = std::make_shared<std::set<target_id>>();
    view->ticket = sources.control.current().number;
    for (const auto& [id, definition] : sources.control.current().services) {
        service_view service;
        service.definition = definition;
        for (const target_record& record : sources.targets.usable(id)) {
            replica_view replica = build_replica(sources, record.latest, now);
            if (replica.connections > 1) {
                cancellable->insert(replica.target);
            }
            service.replicas.push_back(std::move(replica));
        }
        view->services.emplace(id, std::move(service));
    }
    return {std::move(view), std::move(cancellable)};
}

} // namespace tamarack
