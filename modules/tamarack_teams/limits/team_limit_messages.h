#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarack {

/** Short number of a team in messages; computed from its name, so that it survives changes of the ticket. */
using team_number = std::uint32_t;

/** Limit of a team over all hosts. */
struct team_limit {
    team_number team = 0;
    double per_second = 0.0; ///< 0 means no limit
    double burst = 0.0;

    bool operator==(const team_limit&) const = default;

    /** Period over which use is compared with the limit. */
    static constexpr double window_seconds = 5.0;
    /** @return requests in any window beyond rate and burst that the bound tolerates */
    double slack() const { return 0.1 * (window_seconds * per_second + burst) + 20.0; }
};

/**
 * Numbers the teams of a ticket.
 *
 * The number is a hash of the name; if two names collide, the later one by name takes the next free number.
 *
 * @return limits in the order of `teams`
 */
std::vector<team_limit> number_teams(const std::vector<team>& teams);

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
