#include "split_balancer.h"

#include <numeric>

namespace tamarack {

std::size_t split_balancer::next(const route& split) {
    balance& kept = m_balances[split.name];
    if (kept.services != split.services) {
        kept.services = split.services;
        kept.credit.assign(split.services.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < kept.credit.size(); ++index) {
        kept.credit[index] += kept.services[index].weight;
        total += kept.services[index].weight;
        if (kept.credit[index] > kept.credit[chosen]) {
            chosen = index;
        }
    }
    kept.credit[chosen] -= total;
    return chosen;
}

} // namespace tamarack
