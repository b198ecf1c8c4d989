#pragma once

#include "announcement.h"

#include <map>
#include <set>

namespace tamarack {

/**
 * Finds targets by service, and live targets by address.
 *
 * @see target_registry, which keeps it up to date with its records
 */
class target_index {
public:
    /** Adds a target. @param alive  whether it occupies its address */
    void add(const announcement& value, bool alive);
    /** Removes a target; `value` must have the service and address with which it was added. */
    void remove(const announcement& value);

    /** @return the targets of a service, or nullptr */
    const std::set<target_id>* of_service(const service_id& service) const;

    /** @return whether another live target occupies the same address */
    bool address_taken(const announcement& value) const;

    /** @return the other live targets at the same address, with their incarnations */
    std::map<target_id, incarnation_id> others_at(const announcement& value) const;

    /**
     * @return whether a live target may be used at its address. If two hosts have each accepted a different
     * target there, only the target with the highest incarnation may be used.
     */
    bool owns_address(const announcement& value) const;

private:
    std::map<service_id, std::set<target_id>> m_by_service;
    std::map<endpoint, std::map<target_id, incarnation_id>> m_by_address;
};

} // namespace tamarack
