#pragma once

#include "../placement/connection_share.h"

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/** One host's part of an allowance that is shared by all hosts. */
struct allowance_part {
    double fraction = 0.0;
    time_point from = time_point::max(); ///< earliest time at which it may be spent

    bool operator==(const allowance_part&) const = default;

    /** @return the fraction that may be spent now */
    double at(time_point now) const { return now >= from ? fraction : 0.0; }
};

/** Whether earlier processes of the same system may have spent part of the allowance. */
enum class earlier_processes {
    possible,
    none, ///< first start of the system
};

/**
 * Divides an allowance between hosts without coordination, so that the parts spent in any sliding window
 * never exceed the whole.
 *
 * Load pattern: hosts are killed and restarted one after another, or are partitioned from each other, while
 * targets fail most requests. A host may spend its part only after it has been a member of its group (active
 * or standby) for a whole window, and divides the allowance by the number of hosts that were members at any
 * time in that window. Every host that spends in a window was therefore a member when the window began, and
 * is counted by all other hosts that spend in it. A restarted process has nothing to spend until its
 * predecessor's spending has left the window. At the first start of the whole system there are no
 * predecessors, and no host has to wait.
 *
 * Both periods are longer than the window by propagation_time, the time until a membership change has reached
 * all hosts. A host that is isolated from the others must not spend its part at all; this is enforced by the
 * lease, see forwarding_engine::on_lease.
 */
class allowance_share {
public:
    /**
     * @param self     this host
     * @param window   sliding window to which the allowance applies
     * @param earlier  whether this process may have predecessors
     */
    allowance_share(host_id self, duration window, earlier_processes earlier = earlier_processes::possible);

    /** Updates the hosts that share the allowance, this host included. */
    void on_sharing_hosts(time_point now, const sharing_hosts& hosts);

    /** @return this host's part, by the hosts of the latest update */
    allowance_part part(time_point now);

    /**
     * Upper bound for a membership change to reach every host, and for a lease granted by the control hosts
     * to expire.
     */
    static constexpr duration propagation_time = 5s;

private:
    struct membership {
        time_point since;
        time_point left_at = time_point::max();
        std::uint64_t round = 0; ///< number of the latest update that contained it

        bool is_member() const { return left_at == time_point::max(); }
    };
    using group = std::map<host_id, membership>;

    time_point spendable_from(const membership& own) const;
    void update(group& members, time_point now, const std::vector<host_id>& present);
    void remove_departed(group& members, time_point now) const;

    host_id m_self;
    /** How long a new member waits and a departed one still counts: the window plus propagation_time. */
    duration m_settling_time;
    earlier_processes m_earlier;
    time_point m_started = time_point::max(); ///< time of the first update
    std::uint64_t m_round = 0;
    group m_active;
    group m_standby;
};

} // namespace tamarack
