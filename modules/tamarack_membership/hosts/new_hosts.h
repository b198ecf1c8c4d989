#pragma once

#include "host_record.h"

#include <map>
#include <vector>

namespace tamarack {

/** Tracks which running hosts have been sent the targets registered here, and which have not. */
class new_hosts {
public:
    /**
     * Handles a changed host record. A host, or an incarnation of it, that was not known to be running is
     * added to the hosts still to be sent the state.
     */
    void on_host(const host_record& record);

    bool empty() const { return m_pending.empty(); }
    /** @return the hosts to which the state must be sent; it then counts as sent to them */
    std::vector<host_id> take();

private:
    std::map<host_id, incarnation_id> m_seen; ///< running hosts, with the incarnation last seen
    std::vector<host_id> m_pending;
};

} // namespace tamarack
