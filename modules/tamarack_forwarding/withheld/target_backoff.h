#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <limits>

namespace tamarack {

/**
 * Backoff that one target requested from this host.
 *
 * Load pattern: all replicas of a shard are full for some seconds and ask every host to back off, while
 * callers retry immediately. Nothing is sent during the backoff. Each host resumes a little later than
 * requested, after a random extra delay, with one exchange at a time; each success allows one more. The
 * target's load thus rises gradually, and the hosts do not all return at once.
 */
class target_backoff {
public:
    /**
     * The target refused an exchange and requested a backoff.
     *
     * @param requested  how long to send it nothing; a shorter request never shortens a longer one
     * @param random     for the random extra delay
     */
    void on_requested(time_point now, duration requested, random_source& random);

    /** An exchange with the target succeeded. */
    void on_success();

    /** @return whether nothing may be sent to the target now */
    bool is_in_backoff(time_point now) const { return now < m_ends_at; }

    /** @return whether another exchange may be sent while `running` exchanges of this host run there */
    bool allows(time_point now, std::size_t running) const {
        return !is_in_backoff(now) && running < m_max_running;
    }

    /** @return when exchanges may be sent again; in the past if there is no backoff */
    time_point ends_at() const { return m_ends_at; }

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    time_point m_ends_at{};
    std::size_t m_max_running = unlimited; ///< limit on this host's concurrent exchanges there
};

/** A longer backoff is not plausible: a target that is unavailable for longer drains instead. */
inline constexpr duration max_backoff = 10min;

} // namespace tamarack
