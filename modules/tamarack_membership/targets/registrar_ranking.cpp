#include "registrar_ranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarack {

bool registrar_ranking::on_hosts(const std::vector<host_record>& hosts) {
    std::set<host_id> live;
    m_candidates.clear();
    for (const host_record& record : hosts) {
        const bool running = record.state == host_state::alive || record.state == host_state::suspect;
        if (!running) {
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

std::vector<const registrar_candidate*> registrar_ranking::rank(const announcement& value,
                                                                std::size_t max_count, bool isolated) const {
    using ranked_registrar = std::tuple<bool, std::uint64_t, const registrar_candidate*>;
    const std::uint64_t seed = stable_hash(value.target.value());
    std::vector<ranked_registrar> ranked;
    ranked.reserve(m_candidates.size());
    for (const registrar_candidate& candidate : m_candidates) {
        const bool last = isolated && candidate.host == m_self;
        ranked.emplace_back(last, stable_hash(candidate.host.value(), seed), &candidate);
    }
    const std::size_t named = std::min(max_count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(named), ranked.end());
    std::vector<const registrar_candidate*> registrars;
    registrars.reserve(named);
    for (std::size_t index = 0; index < named; ++index) {
        registrars.push_back(std::get<2>(ranked[index]));
    }
    std::stable_partition(registrars.begin(), registrars.end(), [&](const registrar_candidate* registrar) {
        return registrar->data_center == value.data_center;
    });
    return registrars;
}

} // namespace tamarack
