#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <map>
#include <vector>

namespace tamarack {

/**
 * Divides the requests a second that one target takes between hosts, without coordination.
 *
 * Load pattern: a target takes fewer requests a second than there are hosts. Equal shares would then be
 * requests in several seconds each, which hosts can't use evenly. Instead each sharing host gets at least one
 * request a second, and the others get no share. The sharing hosts are those that rank first for the target,
 * by the same ranking as for its connections, so that each of them has a connection to it.
 *
 * @param per_second  the target's limit
 * @param hosts       the hosts that divide it
 * @param self        this host
 * @param target      the target
 * @param connected   number of hosts that may have connections to the target
 * @return fraction of the limit that `self` may use; 0 if it has no share
 */
double limit_share(double per_second, const std::vector<host_id>& hosts, const host_id& self,
                   const target_id& target, std::size_t connected);

/**
 * The hosts that divide the targets' limits.
 *
 * Load pattern: hosts are killed, or cut off from each other while their targets still reach them, and the
 * remaining hosts would use a departed host's share although it may go on using it. Therefore a departed host
 * still counts for some time; on a host that is isolated from most others, for as long as it is.
 */
class limit_sharing {
public:
    /**
     * Updates the hosts to which callers are sent.
     *
     * @param isolated  whether this host has lost contact with most other hosts
     */
    void on_hosts(time_point now, const std::vector<host_id>& active, bool isolated);

    /** @return the hosts that divide the limits, in a fixed order */
    std::vector<host_id> hosts(time_point now) const;

    /** Time for which a departed host counts: until its lease and its callers' directory answers end. */
    static constexpr duration departure_time = 5s;

private:
    std::map<host_id, time_point> m_counts_until; ///< max for hosts that are present
    bool m_isolated = false;
};

} // namespace tamarack
