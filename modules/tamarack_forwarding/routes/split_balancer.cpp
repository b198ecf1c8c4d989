#include "split_balancer.h"

#include <numeric>

namespace tamarack {

std::size_t split_balancer::next(const route& split) {
    balance& state = m_balances[split.name];
    if (state.services != split.services) {
        state.services = split.services;
        state.credit.assign(split.services.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < state.credit.size(); ++index) {
        state.credit[index] += state.services[index].weight;
        total += state.services[index].weight;
        if (state.credit[index] > state.credit[chosen]) {
            chosen = index;
        }
    }
    state.credit[chosen] -= total;
    return chosen;
}

} // namespace tamarack
