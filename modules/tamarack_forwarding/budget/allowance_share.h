#pragma once

#include "../placement/connection_share.h"

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <map>
#include <vector>

namespace tamarack {

/** One host's part of an allowance that all hosts share. */
struct allowance_part {
    double fraction = 0.0;
    time_point from = time_point::max(); ///< nothing of it may be spent before

    bool operator==(const allowance_part&) const = default;

    /** @return the fraction that may be spent now */
    double at(time_point now) const { return now >= from ? fraction : 0.0; }
};

/** Whether processes of the same system may have spent of an allowance before this one started. */
enum class earlier_processes {
    possible,
    none, ///< the system starts for the first time
};

/**
 * Divides an allowance over the hosts, such that their parts never add up to more than the whole in any
 * sliding window, without asking anybody.
 *
 * Load pattern: hosts that are killed and started in series, or that are cut off from each other, while
 * targets fail most requests. A host spends its part only after it has belonged to its group for a whole
 * window, and divides by all that belonged to the group at any time in that window. So whoever spends in a
 * window belonged to the group when the window began, and is counted by all others that spend in it; a
 * process that starts has nothing to spend until what its predecessor spent has left the window; only where
 * there is no predecessor, at the first start of the whole system, it need not wait.
 *
 * Watch out: both spans are longer than the window by the time that news of a host takes (see
 * propagation_time). A host that is cut off from the others must not spend its part at all: its lease tells,
 * see forwarding_engine::on_lease.
 */
class allowance_share {
public:
    /**
     * @param self    this host
     * @param window  in which the allowance holds
     * @param earlier  whether this process may have predecessors
     */
    allowance_share(host_id self, duration window, earlier_processes earlier = earlier_processes::possible);

    /** The hosts that share the allowance, this one among them, as they are known now. */
    void on_sharing_hosts(time_point now, const sharing_hosts& hosts);

    /** @return this host's part, as of the hosts told last */
    allowance_part part(time_point now);

    /** News of a host reaches every other within this, and a lease of the control hosts ends within it. */
    static constexpr duration propagation_time = 5s;

private:
    struct membership {
        time_point since;
        time_point left_at = time_point::max();
        std::uint64_t round = 0; ///< of the update that named it last

        bool is_member() const { return left_at == time_point::max(); }
    };
    using group = std::map<host_id, membership>;

    time_point spendable_from(const membership& own) const;
    void update(group& members, time_point now, const std::vector<host_id>& present);
    void remove_departed(group& members, time_point now) const;

    host_id m_self;
    duration m_settling_time; ///< the window and propagation_time
    earlier_processes m_earlier;
    time_point m_started = time_point::max(); ///< when the hosts were told first
    std::uint64_t m_round = 0;
    group m_active;
    group m_standby;
};

} // namespace tamarack
