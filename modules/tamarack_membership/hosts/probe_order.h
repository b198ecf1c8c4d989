#pragma once

#include <tamarack_base/tamarack_base.h>

#include <vector>

namespace tamarack {

/**
 * Chooses the hosts to probe: each known host once, in shuffled order, before any host is chosen again.
 *
 * This bounds the time until a given host is probed, unlike independent random choices.
 */
class probe_order {
public:
    /**
     * @param hosts   the hosts to choose from, sorted
     * @param random  shuffles the hosts
     * @return the next host, or an empty name if there is none
     */
    host_id next(const std::vector<host_id>& hosts, random_source& random);

private:
    std::vector<host_id> m_remaining;
};

/**
 * @param hosts      the hosts to choose from
 * @param max_count  maximum number of hosts to choose
 * @param except     a host that is not chosen
 * @param random     chooses the hosts
 * @return distinct hosts, chosen at random
 */
std::vector<host_id> choose_hosts(const std::vector<host_id>& hosts, std::size_t max_count,
                                  const host_id& except, random_source& random);

} // namespace tamarack
