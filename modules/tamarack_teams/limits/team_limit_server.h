#pragma once

#include "team_limit_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** A team's state at the server changed; for the log. */
struct team_state_change {
    team_number team = 0;
    bool metered = false;
    double use = 0.0;   ///< requests a second
    double level = 0.0; ///< tokens in the bucket
};

/** An announcement of the server to several hosts. */
struct team_announcement {
    std::vector<host_id> to;
    team_grant grant;
};

/**
 * Divides each team's limit between the hosts, on the leader of the control hosts.
 *
 * Load pattern: a team's requests arrive at all hosts, a few a second at each, and a team that sends several
 * times its usual load must stay within its limit although no host sees more than a small part of it. One
 * token bucket per team decides. While a team uses little, hosts admit its requests at once and report them;
 * the report is charged to the bucket. Once the bucket is less than half full, or the use exceeds half of the
 * rate, the team becomes metered: all hosts are told, and each request then needs a token.
 *
 * A new server grants nothing until the lease of a predecessor has ended; tokens are valid for less than
 * that, so that no token of the predecessor is left when the first new one is granted.
 *
 * Hosts that are not in contact admit a static share of the rate. The refill is therefore reduced by the part
 * of the hosts that haven't reported within `contact_time`.
 *
 * Time and memory of a report are proportional to its items; teams that are not used have no state.
 */
class team_limit_server {
public:
    /**
     * @param now   beginning of this host's leadership
     * @param term  distinguishes this server from its predecessors; not 0
     * @param predecessor  time until the lease of a predecessor has ended
     */
    team_limit_server(time_point now, std::uint64_t term, duration predecessor = predecessor_time)
        : m_term(term), m_ready_at(now + predecessor) {}

    /** Sets the limits of the current ticket. A lowered limit applies at once. */
    void set_limits(time_point now, const std::vector<team_limit>& limits);
    /** Sets the number of hosts that serve callers. */
    void set_hosts(std::size_t hosts) { m_hosts = hosts; }

    /** @return the answer; std::nullopt while a predecessor's lease may be valid */
    std::optional<team_grant> on_use(time_point now, const team_use& report);
    /** @return the announcement that is due, if any */
    std::optional<team_announcement> take_announcement(time_point now);
    /** @return when take_announcement is due; max if there is none */
    time_point next_timer() const;
    /** @return the changes of teams' states since the last call */
    std::vector<team_state_change> take_changes();
    std::size_t teams() const { return m_buckets.size(); }

    /** Validity of a predecessor's lease, unless a deployment sets a longer one. */
    static constexpr duration predecessor_time = 3s;
    /** A host counts as in contact for this time after its report; hosts report more than twice as often. */
    static constexpr duration contact_time = 2'200ms;
    /** A host that was silent for longer admits no share of the rate any more; it is given to the others. */
    static constexpr duration silence_forgotten_after = 25s;
    static constexpr duration token_validity = 500ms;
    /** Difference between the clocks of hosts during a token's validity, and transit time. */
    static constexpr duration token_margin = 100ms;

private:
    struct reservation {
        time_point until;
        host_id host;
        std::uint32_t tokens = 0;
    };
    struct bucket {
        team_limit limit;
        bool metered = false;
        double level = 0.0;
        double use = 0.0; ///< requests a second, averaged over use_time
        time_point updated;
        time_point changed;
        time_point promised; ///< time at which the bucket has a token for the last refused request
        double outstanding = 0.0;
        std::deque<reservation> reservations;
    };
    struct presence {
        time_point heard;
        time_point attached_until;
    };

    bucket* find(time_point now, team_number team);
    void refill(time_point now, bucket& held) const;
    void spend(bucket& held, const host_id& host, std::uint32_t tokens) const;
    void review(time_point now, bucket& held);
    void review_presence(time_point now);
    team_grant_item answer(time_point now, bucket& held, const host_id& host, const team_use_item& item);

    std::uint64_t m_term;
    time_point m_ready_at;
    std::size_t m_hosts = 1;
    double m_part_in_contact = 0.0;
    time_point m_presence_reviewed;
    time_point m_swept;
    std::unordered_map<team_number, team_limit> m_limits;
    std::unordered_map<team_number, bucket> m_buckets;
    std::map<host_id, presence> m_presence;
    std::map<team_number, bool> m_to_announce;
    time_point m_announced;
    std::vector<team_state_change> m_changes;
};

} // namespace tamarack
