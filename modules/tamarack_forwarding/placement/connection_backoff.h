#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace tamarack {

/**
 * Decides when this host may ask one target for another connection, after the target refused some.
 *
 * Load pattern: a target accepts a limited number of connections from all hosts, and fewer while its own
 * queue is long; it resets any beyond as soon as they are open. Hosts whose share is larger reopen them at
 * once, and each attempt costs the target time that it lacks. After a reset, this host keeps what it has
 * open, counts that as its allowance, and asks for one more after a delay that doubles with each refusal;
 * after each connection that the target serves, the allowance grows by one.
 *
 * Failure pattern: a faulty target loses replies together with their connections, also on connections that it
 * has served before. This says nothing about its limit, so refusals are ignored for a short time after.
 *
 * While a target serves all connections, nothing is limited.
 */
class connection_backoff {
public:
    /** A connection attempt failed. @param first_delay  until the next attempt; doubles with each failure */
    void on_unreachable(time_point now, duration first_delay);
    /**
     * The target reset a new connection before any reply on it, or refused it while others are open.
     *
     * @param held         connections to the target that remain
     * @param first_delay  until the next attempt after the first refusal
     * @param random       spreads the attempts of hosts that were refused together
     */
    void on_refused(time_point now, std::size_t held, duration first_delay, random_source& random);
    /** A connection with earlier replies was lost during an exchange. */
    void on_served_connection_lost(time_point now) { m_served_lost_at = now; }
    /**
     * The target replied for the first time on a connection.
     *
     * @param held   connections to the target, with this one
     * @param share  connections that this host may have at most
     */
    void on_served(time_point now, std::size_t held, std::size_t share, duration first_delay);
    /** A connection was opened; attempts fail no longer. */
    void on_connected() { m_failures = 0; }

    /** @return whether another connection may be opened while `held` are open or being opened */
    bool may_open(time_point now, std::size_t held) const;
    /** @return whether a connection may be opened to check that the target is reachable */
    bool may_check(time_point now) const { return now >= m_check_at; }
    /** @return when the present delay ends; in the past if there is none */
    time_point opens_at() const { return m_open_at; }

private:
    bool is_limited(time_point now) const;

    std::optional<std::size_t> m_allowance; ///< connections that the target served, after a refusal
    std::uint32_t m_failures = 0;           ///< failed attempts in a row
    std::uint32_t m_refusals = 0;           ///< reduced with each connection that is served
    time_point m_open_at{};
    time_point m_check_at{};
    time_point m_refused_at{};
    std::optional<time_point> m_served_lost_at;
};

/** A connection that is lost without a reply later than this after it was opened was not refused. */
inline constexpr duration refusal_time = 1s;

} // namespace tamarack
