#pragma once

#include "announcement.h"

#include "../hosts/host_record.h"

#include <cstddef>
#include <set>
#include <vector>

namespace tamarack {

/** A host that can be the registrar of targets, that is, receive their heartbeats. */
struct registrar_candidate {
    host_id host;
    data_center_id data_center;
    endpoint address; ///< address for targets
};

/**
 * Knows the running hosts, and determines which of them are the registrars of a target.
 *
 * Hosts that know the same hosts rank the registrars in the same way. They use rendezvous hashing, so that
 * few targets change their registrar when a host is added or removed.
 */
class registrar_ranking {
public:
    /** @param self  this host, which always counts as running */
    explicit registrar_ranking(host_id self) : m_self(std::move(self)) {}

    /** Updates the known hosts. @return whether the set of running hosts has changed */
    bool on_hosts(const std::vector<host_record>& hosts);
    void on_host_lost(const host_id& host) { m_live.erase(host); }

    bool is_running(const host_id& host) const { return host == m_self || m_live.contains(host); }

    /**
     * @param value      the target
     * @param max_count  maximum number of registrars to return
     * @param isolated   whether this host is probably cut off from the others; it then ranks last
     * @return registrars in order of preference, those in the target's data centre first
     */
    std::vector<const registrar_candidate*> rank(const announcement& value, std::size_t max_count,
                                                 bool isolated) const;

private:
    host_id m_self;
    std::set<host_id> m_live;
    std::vector<registrar_candidate> m_candidates; ///< running hosts that accept targets
};

} // namespace tamarack
