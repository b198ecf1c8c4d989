#include "probe_order.h"

#include <algorithm>

namespace tamarack {

namespace {

void shuffle(std::vector<host_id>& hosts, random_source& random) {
    for (std::size_t index = hosts.size(); index > 1; --index) {
        std::swap(hosts[index - 1], hosts[random.below(index)]);
    }
}

bool contains(const std::vector<host_id>& sorted, const host_id& host) {
    return std::binary_search(sorted.begin(), sorted.end(), host);
}

} // namespace

host_id probe_order::next(const std::vector<host_id>& hosts, random_source& random) {
    while (!m_remaining.empty() && !contains(hosts, m_remaining.back())) {
        m_remaining.pop_back();
    }
    if (m_remaining.empty()) {
        m_remaining = hosts;
        shuffle(m_remaining, random);
    }
    if (m_remaining.empty()) {
        return {};
    }
    host_id chosen = m_remaining.back();
    m_remaining.pop_back();
    return chosen;
}

std::vector<host_id> choose_hosts(const std::vector<host_id>& hosts, std::size_t max_count,
                                  const host_id& except, random_source& random) {
    std::vector<host_id> chosen;
    const std::size_t tries = hosts.size() < 2 * max_count ? 0 : 4 * max_count;
    for (std::size_t draw = 0; draw < tries && chosen.size() < max_count; ++draw) {
        const host_id& drawn = hosts[random.below(hosts.size())];
        const bool eligible =
            drawn != except && std::find(chosen.begin(), chosen.end(), drawn) == chosen.end();
        if (eligible) {
            chosen.push_back(drawn);
        }
    }
    if (chosen.size() == max_count) {
        return chosen;
    }
    chosen = hosts;
    std::erase(chosen, except);
    shuffle(chosen, random);
    chosen.resize(std::min(max_count, chosen.size()));
    return chosen;
}

} // namespace tamarack
