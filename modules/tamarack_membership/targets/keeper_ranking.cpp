#include "keeper_ranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarack {

bool keeper_ranking::on_hosts(const std::vector<host_record>& hosts) {
    std::set<host_id> live;
    m_candidates.clear();
    for (const host_record& record : hosts) {
        const bool lives = record.state == host_state::alive || record.state == host_state::suspect;
        if (!lives) {
            continue;
        }
        live.insert(record.host);
        if (!record.draining && !record.callers_address.empty()) {
            m_candidates.push_back({record.host, record.data_center, record.callers_address});
        }
    }
    const bool same = live == m_live;
    m_live = std::move(live);
    return !same;
}

std::vector<const keeper_candidate*> keeper_ranking::rank(const announcement& value, std::size_t most,
                                                          bool cut_off) const {
    using ranked_keeper = std::tuple<bool, std::uint64_t, const keeper_candidate*>;
    const std::uint64_t seed = stable_hash(value.target.value());
    std::vector<ranked_keeper> ranked;
    ranked.reserve(m_candidates.size());
    for (const keeper_candidate& candidate : m_candidates) {
        const bool last = cut_off && candidate.host == m_self;
        ranked.emplace_back(last, stable_hash(candidate.host.value(), seed), &candidate);
    }
    const std::size_t named = std::min(most, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(named), ranked.end());
    std::vector<const keeper_candidate*> keepers;
    keepers.reserve(named);
    for (std::size_t index = 0; index < named; ++index) {
        keepers.push_back(std::get<2>(ranked[index]));
    }
    std::stable_partition(keepers.begin(), keepers.end(), [&](const keeper_candidate* keeper) {
        return keeper->data_center == value.data_center;
    });
    return keepers;
}

} // namespace tamarack
