#pragma once

#include "host_record.h"

#include <map>
#include <vector>

namespace tamarack {

/** Remembers which running hosts were told all that is kept here, and which are still to be told. */
class new_hosts {
public:
    /** A host's record changed. A host or an incarnation of it that was not known to run is one to be told.
     */
    void on_host(const host_record& record);

    bool empty() const { return m_pending.empty(); }
    /** @return the hosts that are to be told; they then count as told */
    std::vector<host_id> take();

private:
    std::map<host_id, incarnation_id> m_seen; ///< running hosts, with the incarnation that was met
    std::vector<host_id> m_pending;
};

} // namespace tamarack
