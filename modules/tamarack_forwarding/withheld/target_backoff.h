#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <limits>

namespace tamarack {

/**
 * Whether one target that asked this host for a rest may be sent an exchange.
 *
 * Load pattern: all replicas of a shard are full for some seconds and ask every host for a rest, while
 * callers repeat at once. Nothing is sent while the rest lasts. Each host returns a little later than asked,
 * by a time of its own, with one exchange at a time; each success allows one more. So the target meets a
 * rising load and not all hosts at once.
 */
class target_backoff {
public:
    /**
     * The target refused an exchange and asked for a rest.
     *
     * @param asked   how long it wants nothing from this host; a shorter rest never ends a longer one
     * @param random  spreads the hosts' return
     */
    void on_requested(time_point now, duration asked, random_source& random);

    /** An exchange succeeded there. */
    void on_success();

    /** @return whether the target is to get nothing now */
    bool is_in_backoff(time_point now) const { return now < m_ends_at; }

    /** @return whether it may get a further exchange while so many of this host's run there */
    bool allows(time_point now, std::size_t running) const {
        return !is_in_backoff(now) && running < m_max_running;
    }

    /** @return when exchanges may be sent again; in the past when it has asked for no rest */
    time_point ends_at() const { return m_ends_at; }

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    time_point m_ends_at{};
    std::size_t m_max_running = unlimited; ///< exchanges of this host that may run there together
};

/** A longer rest than this is not believed: a target that is away for longer drains. */
inline constexpr duration max_backoff = 10min;

} // namespace tamarack
