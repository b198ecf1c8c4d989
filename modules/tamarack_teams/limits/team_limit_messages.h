#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarack {

/** Short number of a team in messages; computed from its name, so that it survives changes of the ticket. */
using team_number = std::uint32_t;

/** By how much the requests of a team may exceed its limit, since no host knows at once what the others
 * admit. */
struct limit_tolerance {
    double window_seconds = 5.0; ///< period over which the requests are counted
    double overage = 0.1;        ///< as a fraction of what the limit allows in the window
    double slack = 20.0;         ///< further requests in the window

    bool operator==(const limit_tolerance&) const = default;
};

/** Limit of a team over all hosts. */
struct team_limit {
    team_number team = 0;
    double per_second = 0.0; ///< 0 means no limit
    double burst = 0.0;
    limit_tolerance tolerance;

    bool operator==(const team_limit&) const = default;

    /** Period over which a host counts what it admits beyond the tokens that it was granted. */
    static constexpr double counted_seconds = 5.0;
    /** @return requests in any counted period beyond rate and burst that the tolerance allows */
    double slack() const {
        const double allowed = tolerance.window_seconds * per_second + burst;
        return (tolerance.overage * allowed + tolerance.slack) *
               std::min(1.0, counted_seconds / tolerance.window_seconds);
    }
};

/**
 * Numbers the teams of a ticket.
 *
 * The number is a hash of the name; if two names collide, the later one by name takes the next free number.
 *
 * @return limits in the order of `teams`
 */
std::vector<team_limit> number_teams(const std::vector<team>& teams, const limit_tolerance& tolerance = {});

/** What a host reports about one team: changes since its previous report. */
struct team_use_item {
    team_number team = 0;
    std::uint32_t admitted = 0; ///< without a token
    std::uint32_t spent = 0;    ///< admitted with a token
    std::uint32_t refused = 0;
    std::uint32_t wanted = 0; ///< tokens requested for waiting requests
    bool metered = false;     ///< as the host believes

    bool operator==(const team_use_item&) const = default;
};

/** Report of a host to the server of team limits. Without items it only keeps up the contact. */
struct team_use {
    host_id host;
    std::uint64_t sequence = 0;
    bool attached = false; ///< the host is in contact with the server
    std::vector<team_use_item> items;

    bool operator==(const team_use&) const = default;
};

/** What the server tells a host about one team. */
struct team_grant_item {
    team_number team = 0;
    bool metered = false;
    std::uint32_t tokens = 0;
    duration until_tokens{}; ///< time until the bucket has a token for a refused request

    bool operator==(const team_grant_item&) const = default;
};

/** Answer to a report, or a change of state that the server announces to all hosts. */
struct team_grant {
    std::uint64_t server = 0;   ///< identifies a term of a server; a new one starts with empty buckets
    std::uint64_t sequence = 0; ///< of the report that it answers; 0 for an announcement
    duration tokens_valid{};    ///< counted from the sending of the report
    std::vector<team_grant_item> items;

    bool operator==(const team_grant&) const = default;
};

} // namespace tamarack
