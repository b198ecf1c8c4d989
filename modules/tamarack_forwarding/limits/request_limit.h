#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarack {

/** A step in what a host knows about a target's request limit. */
enum class limit_step {
    stated,   ///< the target states a limit for the first time
    changed,  ///< the target states a considerably different limit
    lifted,   ///< the target no longer states a limit
    in_force, ///< periodic report while a limit is in force
    cold,     ///< the target is cold, and its service limits requests to cold targets
    warm,     ///< the target is no longer cold
};

template <>
struct name_table<limit_step> {
    static constexpr std::array<std::pair<limit_step, std::string_view>, 6> entries{{
        {limit_step::stated, "stated"},
        {limit_step::changed, "changed"},
        {limit_step::lifted, "lifted"},
        {limit_step::in_force, "in_force"},
        {limit_step::cold, "cold"},
        {limit_step::warm, "warm"},
    }};
};

/** What one host did with a target while its limit was in force. */
struct limit_use {
    std::uint32_t sent = 0;     ///< exchanges, extra ones included
    std::uint32_t extra = 0;    ///< hedges and retries
    std::uint32_t withheld = 0; ///< decisions in which the target was passed over because of its limit

    bool operator==(const limit_use&) const = default;
};

/** What a target last stated about its limit, to this host or to another one. */
struct limit_statement {
    std::optional<double> per_second; ///< from all hosts together; absent if no limit is in force
    time_point heard_at{};            ///< when a host received the target's reply
};

/**
 * The limit on requests that one target states in its replies while it is short of capacity, and this host's
 * use of its share.
 *
 * Load pattern: one replica of a shard loses most of its capacity for some seconds, or all of them do, while
 * every host goes on sending it its usual share of a constant load. Each host has a token bucket that fills
 * at its share of the limit. The bucket starts empty and holds what accumulates in half a second, so that all
 * hosts together stay below the limit in any window of a few seconds.
 *
 * Load pattern: the targets of a data centre come back from a restart together, and each takes only a few
 * requests a second while it is cold. Hosts know this rate from the configuration and the targets'
 * announcements. It counts like a stated limit, and the lower of the two applies; it ends by itself.
 *
 * A host without a share sends nothing, and learns from the others when the limit ends. In case their reports
 * are lost, it checks by itself after a long time, with a single exchange.
 */
class request_limit {
public:
    /** @param spread  0 to 1, random: spreads the checks of the hosts without a share over time */
    explicit request_limit(double spread = 0.0) : m_spread(spread) {}

    /**
     * Handles a reply of the target.
     *
     * @param sent_at  when the exchange was sent
     * @param stated   requests a second that the target takes from all hosts together; absent if it states
     * no limit
     * @return the step, if the reply changes what is known
     */
    std::optional<limit_step> on_reply(time_point now, time_point sent_at, std::optional<double> stated);
    /** Handles another host's report. @return the step, if the report changes what is known */
    std::optional<limit_step> on_report(time_point now, const limit_statement& statement);
    /**
     * Sets the limit on requests to the target while it is cold.
     *
     * @param per_second  requests a second from all hosts together; absent if the target is warm, or its
     *                    service states no limit
     * @param until       when it will be warm
     */
    void set_cold(time_point now, std::optional<double> per_second, time_point until);
    /** Sets the fraction of the limit that this host may use. */
    void set_share(time_point now, double share);
    /** An exchange was sent to the target. */
    void on_sent(time_point now);
    /** @return whether to report the limit to the other hosts now, because no host has done so lately */
    bool is_report_due(time_point now) const { return m_rate && now >= m_reported_at + report_interval; }
    /** The limit was reported to the other hosts. */
    void on_reported(time_point now) { m_reported_at = now; }

    bool in_force() const { return m_rate || m_cold_rate; }
    /** @return whether the target itself states a limit */
    bool is_stated() const { return m_rate.has_value(); }
    /** @return whether a limit is in force because the target is cold */
    bool is_cold() const { return m_cold_rate.has_value(); }
    time_point cold_until() const { return m_cold_until; }
    /** @return requests a second from all hosts together; 0 if no limit is in force */
    double rate() const;
    limit_statement statement() const { return {m_rate, m_heard_at}; }
    double share() const { return m_share; }
    /** @return whether this host may use the target regularly, or at all if no limit is in force */
    bool has_share() const { return !in_force() || m_share > 0.0; }
    /** @return exchanges a second that this host may send while the limit is in force */
    double own_rate() const;
    /** @return whether an exchange may be sent now */
    bool allows(time_point now) const { return allowed_at(now) <= now; }
    /**
     * @param nth  which of the next exchanges, starting with 1
     * @return when it may be sent: now or later
     */
    time_point allowed_at(time_point now, std::size_t nth = 1) const;

    /** Interval of the reports on a limit that stays in force. */
    static constexpr duration report_interval = 10s;
    /**
     * A host without a share checks the target when it has heard nothing for this long, or up to twice as
     * long.
     */
    static constexpr duration min_check_interval = 3 * report_interval;
    /** Smallest rate that all hosts together use: without any exchange, no host learns that the limit ended.
     */
    static constexpr double min_rate = 0.2;

private:
    std::optional<limit_step> apply(time_point now, const limit_statement& statement);
    double capacity() const;
    double tokens_at(time_point now) const;

    double m_spread;
    std::optional<double> m_rate;      ///< stated by the target
    std::optional<double> m_cold_rate; ///< by its service, while it is cold
    time_point m_cold_until{};
    time_point m_heard_at{};
    time_point m_reported_at{}; ///< by this or another host
    double m_share = 0.0;
    double m_tokens = 0.0; ///< at m_refilled_at
    time_point m_refilled_at{};
    time_point m_sent_at{};
};

} // namespace tamarack
