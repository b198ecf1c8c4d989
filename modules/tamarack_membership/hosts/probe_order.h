#pragma once

#include <tamarack_base/tamarack_base.h>

#include <vector>

namespace tamarack {

/**
 * Chooses hosts to probe: each known one once, in a shuffled order, before any is chosen again.
 *
 * Bounds the time until a given host is probed, which choosing at random would not.
 */
class probe_order {
public:
    /**
     * @param hosts   whom to choose from now
     * @param random  shuffles
     * @return the next host, or an empty name when there is none
     */
    host_id next(const std::vector<host_id>& hosts, random_source& random);

private:
    std::vector<host_id> m_remaining;
};

/**
 * @param hosts   whom to choose from
 * @param most    how many to choose
 * @param except  a host that is not chosen
 * @param random  chooses
 * @return distinct hosts, chosen at random
 */
std::vector<host_id> choose_hosts(const std::vector<host_id>& hosts, std::size_t max_count,
                                  const host_id& except, random_source& random);

} // namespace tamarack
