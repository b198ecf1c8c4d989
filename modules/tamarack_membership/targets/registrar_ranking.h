#pragma once

#include "announcement.h"

#include "../hosts/host_record.h"

#include <cstddef>
#include <set>
#include <vector>

namespace tamarack {

/** A host that may hear a target's heartbeats. */
struct registrar_candidate {
    host_id host;
    data_center_id data_center;
    endpoint address; ///< where targets reach it
};

/**
 * The hosts that live, and which of them hear the heartbeats of which target.
 *
 * All hosts that know the same hosts rank the same registrars: by rendezvous hashing, so that few targets
 * change theirs when a host comes or goes.
 */
class registrar_ranking {
public:
    /** @param self  lives in any case */
    explicit registrar_ranking(host_id self) : m_self(std::move(self)) {}

    /** The known hosts changed. @return whether others live than before */
    bool on_hosts(const std::vector<host_record>& hosts);
    void on_host_lost(const host_id& host) { m_live.erase(host); }

    bool is_running(const host_id& host) const { return host == m_self || m_live.contains(host); }

    /**
     * @param value    the target
     * @param most     registrars that are named at most
     * @param isolated  this host is probably cut off: it ranks last
     * @return registrars, first choice first: near ones before far ones
     */
    std::vector<const registrar_candidate*> rank(const announcement& value, std::size_t max_count,
                                                 bool isolated) const;

private:
    host_id m_self;
    std::set<host_id> m_live;
    std::vector<registrar_candidate> m_candidates; ///< live ones that take targets
};

} // namespace tamarack
