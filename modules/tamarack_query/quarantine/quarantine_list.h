#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace tamarack {

/** Digests of requests that are refused for some time because they crash targets. */
class quarantine_list {
public:
    /**
     * @param capacity  maximum number of digests; the oldest is dropped first
     * @param length    how long a digest stays in quarantine
     */
    quarantine_list(std::size_t capacity, duration length) : m_capacity(capacity), m_length(length) {}

    /** @return whether the digest was not listed before */
    bool add(time_point now, const digest& request) {
        const bool added = m_until.insert_or_assign(request.hex(), now + m_length).second;
        if (added) {
            m_order.push_back(request.hex());
        }
        if (m_order.size() > m_capacity) {
            m_until.erase(m_order.front());
            m_order.pop_front();
        }
        return added;
    }

    bool contains(time_point now, const digest& request) const {
        const auto found = m_until.find(request.hex());
        return found != m_until.end() && found->second > now;
    }

    bool empty() const { return m_until.empty(); }
    std::size_t size() const { return m_until.size(); }

private:
    std::unordered_map<std::string, time_point> m_until; ///< by the digest's hexadecimal digits
    std::deque<std::string> m_order;
    std::size_t m_capacity;
    duration m_length;
};

} // namespace tamarack
