#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace tamarack {

/**
 * Finds the team that holds a key.
 *
 * A lookup takes no memory, and its duration doesn't tell how much of a guessed key is right: the candidate
 * is selected by a hash of the whole key with a secret seed, and compared in constant time.
 */
class team_index {
public:
    /**
     * @param table  must not be nullptr
     * @param seed   random, and unknown to callers
     */
    team_index(std::shared_ptr<const route_table> table, std::uint64_t seed);

    /** @return the team, valid as long as the table, or nullptr if no team holds the key */
    const team* find(std::string_view key) const;

private:
    struct slot {
        std::uint64_t hash = 0;
        const std::string* key = nullptr; ///< nullptr if the slot is free
        const team* holder = nullptr;
    };

    std::shared_ptr<const route_table> m_table;
    std::uint64_t m_seed;
    std::vector<slot> m_slots; ///< open addressing; a power of two, at most half full
};

} // namespace tamarack
