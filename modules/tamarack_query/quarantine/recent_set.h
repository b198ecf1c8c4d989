#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace tamarack {

/** A bounded set of hashes; beyond its capacity, the oldest one is dropped. */
class recent_set {
public:
    /** @param capacity  above zero */
    explicit recent_set(std::size_t capacity) : m_capacity(capacity) {}

    bool contains(std::uint64_t hash) const { return m_hashes.contains(hash); }

    void add(std::uint64_t hash) {
        if (!m_hashes.insert(hash).second) {
            return;
        }
        m_order.push_back(hash);
        if (m_order.size() > m_capacity) {
            m_hashes.erase(m_order.front());
            m_order.pop_front();
        }
    }

private:
    std::unordered_set<std::uint64_t> m_hashes;
    std::deque<std::uint64_t> m_order;
    std::size_t m_capacity;
};

} // namespace tamarack
