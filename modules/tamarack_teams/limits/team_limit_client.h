#pragma once

#include "team_limit_messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** Decision on a request of a team. */
enum class team_verdict {
    admitted,
    waiting, ///< the server has been asked for a token
    refused,
};

/** Decision, with the delay after which a refused caller may retry. */
struct team_decision {
    team_verdict verdict = team_verdict::admitted;
    duration retry_after{};
};

/** Decision on a request that had to wait. */
struct waited_decision {
    std::uint64_t request = 0;
    team_decision decision;
};

/** Requests in the current and the previous seconds that make up a window. */
class recent_count {
public:
    void add(time_point now, std::uint32_t requests);
    /** @return number of requests in at least the last five seconds */
    std::uint32_t total(time_point now) const;

private:
    std::array<std::uint32_t, 6> m_counts{};
    std::int64_t m_second = 0;
};

/**
 * Decides on each host which requests of a limited team are admitted.
 *
 * Load pattern: most teams are far below their limits, and a request must not wait for another host then; a
 * team near its limit sends its requests to all hosts, and no host alone can tell that the limit is reached.
 * An open team's requests are admitted at once and reported; if this host has admitted its part of the
 * tolerated slack without an answer, or if the team is metered, a request waits for a token.
 *
 * Without contact to the server, all hosts together admit in any window a part of the slack, divided by rank,
 * and a part of the rate that leaves room for what the server may still grant to other hosts. After
 * `static_share_after`, the server has taken this host's part from the refill, and most of the rate is
 * admitted.
 *
 * The client has as much state as there are active or metered teams. An admission takes constant time in
 * contact, and time proportional to the number of hosts without it.
 */
class team_limit_client {
public:
    /**
     * @param now     start of this host; see start
     * @param random  for the numbers of reports and the spread of retries
     */
    team_limit_client(time_point now, host_id self, random_source random);

    /** Sets the start of this host, if it was unknown at the construction. */
    void start(time_point now) { m_contact = now; }
    /** Sets the limits of the ticket in force. A lowered limit applies at once. */
    void set_limits(const std::vector<team_limit>& limits);
    /** Sets the hosts that serve callers. Without contact, departed hosts still count. */
    void set_hosts(const std::vector<host_id>& hosts);
    /** @return whether any team has a limit */
    bool has_limits() const { return !m_limits.empty(); }

    /**
     * Decides on a request.
     *
     * @param request  its number, unique among the waiting requests
     * @param patience  longest time that it may wait for a token
     */
    team_decision request(time_point now, team_number team, std::uint64_t request, duration patience);
    /** A waiting request is not needed any more. */
    void cancel(team_number team, std::uint64_t request);
    /** The server answered a report, or announced a change. @return decisions on waiting requests */
    std::vector<waited_decision> on_grant(time_point now, const team_grant& grant);
    /** @return decisions on requests that have waited as long as they may */
    std::vector<waited_decision> on_timer(time_point now);
    /** @return the report that is due, if any; to be called after each event */
    std::optional<team_use> take_report(time_point now);
    /** @return when on_timer and take_report are due */
    time_point next_timer(time_point now) const;
    bool attached() const { return m_attached; }

    /** A report without an answer for this time means that contact is lost. */
    static constexpr duration answer_time = 400ms;
    /** Interval of reports without news; see team_limit_server::contact_time. */
    static constexpr duration contact_interval = 1s;
    /** Shortest interval of reports that ask for no tokens. */
    static constexpr duration min_report_interval = 100ms;
    /** Requests for tokens of several requests are sent together at this interval. */
    static constexpr duration min_ask_interval = 5ms;
    /** Size of a report on the network without items, and of an item; see encode_team_use. */
    static constexpr std::size_t report_bytes = 250;
    static constexpr std::size_t item_bytes = 15;
    /** Highest rate of reports that ask for no tokens. */
    static constexpr double bytes_per_second = 750.0;
    /** Time without contact after which the server has reduced its refill by this host's part. */
    static constexpr duration static_share_after = 3'500ms;
    /** Time without contact after which the server gives this host's part to others. */
    static constexpr duration static_share_until = 20s;
    /** After the first contact with a server, all teams are metered for this time: its buckets are empty. */
    static constexpr duration cautious_time = 1s;

private:
    struct waiter {
        std::uint64_t request = 0;
        time_point until;
    };
    struct entry {
        bool metered = false;
        std::uint32_t admitted = 0; ///< to be reported, without a token
        std::uint32_t spent = 0;
        std::uint32_t refused = 0;
        std::uint32_t unanswered = 0; ///< admitted without a token and not yet in an answered report
        std::uint32_t tokens = 0;
        time_point tokens_until;
        time_point available_at; ///< the server has no token before
        std::uint32_t refused_since = 0;
        std::deque<waiter> waiting;
        std::size_t asked = 0; ///< number of waiting requests, from the front, for which tokens were asked
        recent_count without_contact;
        double share_level = 0.0;
        time_point share_updated;
        time_point used;
    };
    struct sent_report {
        time_point at;
        std::vector<team_use_item> items;
    };

    entry& entry_of(time_point now, team_number team);
    bool is_metered(time_point now, const entry& held) const;
    void admit(entry& held);
    team_decision refuse(time_point now, entry& held, const team_limit& limit);
    bool admit_without_contact(time_point now, entry& held, const team_limit& limit);
    std::size_t rank(team_number team) const;
    /** @return whether a request is admitted for which the server didn't answer in time */
    bool may_outrun_answer(time_point now, const entry& held, const team_limit& limit) const;
    void review_contact(time_point now);
    void attach(time_point now, const team_grant& grant, time_point sent_at);
    void take_tokens(time_point now, entry& held, const team_use_item& asked, const team_grant_item& item,
                     time_point valid_until, std::vector<waited_decision>& decisions);
    time_point report_due(time_point now) const;
    /** @return when a report of the use is due that asks for no tokens */
    time_point use_due(time_point now) const;
    /** Adds what is to be reported about a team. */
    void add_item(time_point now, team_use& report, team_number team, entry& held) const;

    host_id m_self;
    random_source m_random;
    std::unordered_map<team_number, team_limit> m_limits;
    std::vector<host_id> m_hosts;
    std::unordered_map<team_number, entry> m_teams;
    std::map<std::uint64_t, sent_report> m_sent; ///< without an answer, by sequence
    std::uint64_t m_sequence;
    std::uint64_t m_server = 0; ///< term of the server
    bool m_attached = false;
    bool m_just_attached = false;
    time_point m_contact; ///< sending time of the latest answered report
    time_point m_cautious_until;
    time_point m_sent_at;  ///< of the latest report of any kind
    time_point m_reported; ///< sending time of the latest report of the use
    time_point m_asked;
    std::size_t m_report_bytes = 0; ///< size of that report
    bool m_has_news = false;
    bool m_has_asks = false;
    std::set<team_number> m_waiting; ///< teams with waiting requests
    time_point m_next_waiter = time_point::max();
    time_point m_swept;
};

} // namespace tamarack
