#include "team_index.h"

#include <bit>
#include <utility>

#include <openssl/crypto.h>

namespace tamarack {

namespace {

std::size_t count_keys(const route_table& table) {
    std::size_t count = 0;
    for (const team& item : table.teams) {
        count += item.keys.size();
    }
    return count;
}

} // namespace

team_index::team_index(std::shared_ptr<const route_table> table, std::uint64_t seed)
    : m_table(std::move(table)), m_seed(seed), m_slots(std::bit_ceil(2 * count_keys(*m_table) + 1)) {
    for (const team& item : m_table->teams) {
        for (const std::string& key : item.keys) {
            const std::uint64_t hash = stable_hash(key, m_seed);
            std::size_t at = hash & (m_slots.size() - 1);
            while (m_slots[at].key != nullptr) {
                at = (at + 1) & (m_slots.size() - 1);
            }
            m_slots[at] = {hash, &key, &item};
        }
    }
}

const team* team_index::find(std::string_view key) const {
    const std::uint64_t hash = stable_hash(key, m_seed);
    std::size_t at = hash & (m_slots.size() - 1);
    while (m_slots[at].key != nullptr) {
        const slot& candidate = m_slots[at];
        const bool same_size = candidate.hash == hash && candidate.key->size() == key.size();
        if (same_size && CRYPTO_memcmp(candidate.key->data(), key.data(), key.size()) == 0) {
            return candidate.holder;
        }
        at = (at + 1) & (m_slots.size() - 1);
    }
    return nullptr;
}

} // namespace tamarack
