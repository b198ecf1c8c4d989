#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

/**
 * Distributes the requests of a split over its services in proportion to their weights.
 *
 * Smooth weighted round robin: over any sequence of requests the shares stay within one request of the
 * weights, so that the split also holds over short periods. State is kept per route name and is reset when
 * the route's services or weights change.
 */
class split_balancer {
public:
    /** @return the index of the service that the route's next request goes to */
    std::size_t next(const route& split);

private:
    struct balance {
        std::vector<route_service> services;
        std::vector<std::int64_t> credit;
    };
    std::map<std::string, balance> m_balances;
};

} // namespace tamarack
