#pragma once

#include "caller_check.h"
#include "request_answers.h"

#include <map>
#include <vector>

namespace tamarack {

/** A request that its team's limit admits, with the time of its arrival at this host. */
struct admitted_request {
    forward_request request;
    time_point arrived;
};

/** Holds requests back until their team's limit admits them, or refuses them. Internal to the module. */
class team_admission {
public:
    team_admission(forwarding_core& core, request_answers answers);

    /** The routes, with the teams' limits, or the hosts changed. */
    void on_view();
    /**
     * Decides on a request whose key has been checked.
     *
     * @return true if the request was taken: it waits, or has been refused
     */
    bool holds_back(forward_request& request, const route& selected, const caller_verdict& caller);
    /** @return whether a request waits no longer because its caller has left */
    bool cancel(forward_number number);
    /** The server of team limits answered. @return requests that go on */
    std::vector<admitted_request> on_grant(const team_grant& grant);
    /** Refuses requests that have waited as long as they may. @return requests that go on */
    std::vector<admitted_request> on_timer();
    /** Issues the report that is due, and sets the timer. To be called after each event. */
    void finish_event();
    /** @return number of waiting requests */
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct waiting_request {
        forward_request request;
        time_point arrived;
        team_number team = 0;
    };

    std::vector<admitted_request> carry_out(const std::vector<waited_decision>& decisions);
    void refuse(forward_request request, duration retry_after);

    forwarding_core& m_core;
    request_answers m_answers;
    team_limit_client m_client;
    bool m_started = false;
    std::shared_ptr<const route_table> m_table;
    std::vector<team_limit> m_limits; ///< in the order of the table's teams
    std::map<forward_number, waiting_request> m_waiting;
    time_point m_timer_at = time_point::max();
};

} // namespace tamarack
