#pragma once

#include "../budget/extra_exchange_charge.h"
#include "../payload/forward_answer.h"
#include "../payload/sent_content.h"
#include "../targets/known_target.h"
#include "../timing/exchange_timing.h"
#include "../timing/request_times.h"

#include <memory>
#include <vector>

namespace tamarack {

/** An exchange that runs for a part of a request. */
struct running_exchange {
    target_connection connection = 0;
    known_target_pointer target;
    time_point sent_at;
};

/** How far a part of a request has come. */
enum class part_progress {
    waiting, ///< for a connection
    running,
    deferred, ///< its repeat waits until the request's losses are explained
    covered,
    missing, ///< given up
};

/** One shard's share of a request; a request to one target has one part. */
struct run_part {
    known_service_pointer service;
    part_progress progress = part_progress::waiting;
    std::vector<running_exchange> exchanges;
    std::vector<known_target_pointer> tried;
    std::uint32_t possible_runs = 0;      ///< targets that may have run it
    extra_exchange_charge_pointer charge; ///< of a repeat that is not sent yet
    time_point hedge_at = time_point::max();
    bool queued = false; ///< in its service's list of what waits
    std::string token;
    std::string body;
    std::optional<target_reply> failure; ///< of a target that ran it and failed
};

/** Shares of counts are compared with room for rounding. */
inline constexpr double share_rounding = 1e-9;

/** One request on its way. Internal to the module. */
struct forwarding_run {
    forward_request request;
    sent_content_pointer content;
    std::shared_ptr<const route_table> table; ///< keeps the route alive
    const route* selected_route = nullptr;
    time_point arrived;
    request_times times;
    exchange_timing* timing = nullptr;
    std::vector<run_part> parts;
    std::size_t sent = 0;
    std::size_t not_run = 0; ///< exchanges whose target said that it did not run
    std::size_t lost = 0;    ///< exchanges whose connection was lost
    time_point wake_at = time_point::max();
    request_trace trace;
    bool ended = false;

    std::size_t count(part_progress progress) const;
    /** @return whether so many parts make the least coverage of its route */
    bool covers_enough(std::size_t covered) const;
    /** @return whether an exchange is running, or waits for a connection */
    bool is_under_way() const;
    /** @return whether some target has run it, or may have */
    bool may_have_run() const { return sent > not_run; }
    bool merges() const { return selected_route->destination == route_destination::shards; }
};

} // namespace tamarack
