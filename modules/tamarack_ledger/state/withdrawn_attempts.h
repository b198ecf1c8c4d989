#pragma once

#include "claim.h"

#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace tamarack {

/** One attempt to run the request of a key. */
struct attempt_id {
    service_id service;
    idempotency_key key;
    std::uint64_t attempt = 0;

    bool operator==(const attempt_id&) const = default;
    bool operator<(const attempt_id& other) const {
        return std::tie(service, key, attempt) < std::tie(other.service, other.key, other.attempt);
    }
};

/**
 * Attempts that were refused or reported not_run, and must not be granted later.
 *
 * The entry host has given up on such an attempt, possibly before its claim was committed. If a delayed copy
 * of the claim were then granted, no host would run the request and the key would stay blocked.
 */
class withdrawn_attempts {
public:
    explicit withdrawn_attempts(std::size_t limit) : m_limit(limit) {}

    /** Adds an attempt until it expires. Beyond the limit, the attempt that expires first is dropped. */
    void add(const attempt_id& attempt, wall_time expires_at);
    bool contains(const attempt_id& attempt) const { return m_expiries.contains(attempt); }
    void forget_expired(wall_time now);
    void clear();
    const std::map<attempt_id, wall_time>& all() const { return m_expiries; }

private:
    void drop_earliest_expiry();

    std::size_t m_limit;
    std::map<attempt_id, wall_time> m_expiries;
    std::set<std::pair<wall_time, attempt_id>> m_by_expiry;
};

} // namespace tamarack
