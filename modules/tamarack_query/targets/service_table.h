#pragma once

#include "../engine/query_statistics.h"
#include "service_state.h"

#include <unordered_map>
#include <unordered_set>

namespace tamarack {

/** Changes that a new view made. */
struct view_changes {
    std::vector<replica_pointer> added;
    std::vector<replica_pointer> removed; ///< no longer in the view, or replaced by another incarnation
};

/** The services, shards and replicas of the current view, with the state that this host keeps for them. */
class service_table {
public:
    /**
     * @param limited           whether extra load is limited; only tests switch this off
     * @param running_per_slot  concurrent requests per slot of the service's shard with the fewest slots
     */
    service_table(bool limited, double running_per_slot)
        : m_limited(limited), m_running_per_slot(running_per_slot) {}

    /** Applies a view. Replicas that remain keep their observations. */
    view_changes apply(time_point now, const serving_view& view);

    /** @return the service, or nullptr if the current ticket does not list it */
    service_state* find(const service_id& id);
    /** @return the service by its number within the engine, or nullptr */
    service_state* find(std::uint64_t number);
    /** @return one incarnation of a target, or nullptr if it is gone */
    replica_pointer find_replica(std::uint64_t number) const;
    /** @return the current incarnation of a target, or nullptr if it is not listed */
    replica_pointer find_replica(const target_id& target) const;

    /** Rebuilds the list of versions if it is outdated. */
    void refresh_versions(service_state& service, time_point now) const;

    /** Adds the counts of all services. */
    void add_counts(query_statistics& counted) const;

private:
    std::map<service_id, std::unique_ptr<service_state>> m_services;
    std::unordered_map<target_id, replica_pointer> m_replicas;
    std::unordered_map<std::uint64_t, replica_pointer> m_by_number;
    std::uint64_t m_last_number = 0;
    bool m_limited;
    double m_running_per_slot;

    void apply_service(time_point now, const service_id& id, const service_view& view,
                       std::unordered_set<std::uint64_t>& seen, view_changes& changes);
    replica_pointer add_or_update(time_point now, const service_id& id, const replica_view& view,
                                  bool service_is_new, view_changes& changes);
    void drop_unlisted(const std::unordered_set<std::uint64_t>& seen, view_changes& changes);
    std::size_t running_limit_of(const service_state& service) const;
    static void group_by_shard(service_state& service);
};

} // namespace tamarack
