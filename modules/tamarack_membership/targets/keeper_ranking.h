#pragma once

#include "announcement.h"

#include "../hosts/host_record.h"

#include <cstddef>
#include <set>
#include <vector>

namespace tamarack {

/** A host that may hear a target's heartbeats. */
struct keeper_candidate {
    host_id host;
    data_center_id data_center;
    endpoint address; ///< where targets reach it
};

/**
 * The hosts that live, and which of them hear the heartbeats of which target.
 *
 * All hosts that know the same hosts rank the same keepers: by rendezvous hashing, so that few targets change
 * theirs when a host comes or goes.
 */
class keeper_ranking {
public:
    /** @param self  lives in any case */
    explicit keeper_ranking(host_id self) : m_self(std::move(self)) {}

    /** The known hosts changed. @return whether others live than before */
    bool on_hosts(const std::vector<host_record>& hosts);
    void on_host_lost(const host_id& host) { m_live.erase(host); }

    bool lives(const host_id& host) const { return host == m_self || m_live.contains(host); }

    /**
     * @param value    the target
     * @param most     keepers that are named at most
     * @param cut_off  this host is probably cut off: it ranks last
     * @return keepers, first choice first: near ones before far ones
     */
    std::vector<const keeper_candidate*> rank(const announcement& value, std::size_t most,
                                              bool cut_off) const;

private:
    host_id m_self;
    std::set<host_id> m_live;
    std::vector<keeper_candidate> m_candidates; ///< live ones that take targets
};

} // namespace tamarack
