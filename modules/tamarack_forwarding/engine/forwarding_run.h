#pragma once

#include "../budget/extra_exchange_charge.h"
#include "../payload/forward_answer.h"
#include "../payload/sent_content.h"
#include "../targets/engine_target.h"
#include "../timing/exchange_timing.h"
#include "../timing/request_times.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace tamarack {

/** A running exchange of a part of a request. */
struct running_exchange {
    target_connection connection = 0;
    engine_target_pointer target;
    time_point sent_at;
};

/** Progress of a part of a request. */
enum class part_progress {
    waiting, ///< for a connection
    running,
    deferred, ///< its retry waits until the request's losses are confirmed or refuted
    covered,
    missing, ///< given up
};

/** The part of a request that one shard answers; a request to one target has a single part. */
struct run_part {
    engine_service_pointer service;
    part_progress progress = part_progress::waiting;
    std::vector<running_exchange> exchanges;
    std::vector<engine_target_pointer> tried;
    std::uint32_t possible_runs = 0;      ///< targets that may have run it
    extra_exchange_charge_pointer charge; ///< of an extra exchange that is not sent yet
    time_point hedge_at = time_point::max();
    bool queued = false; ///< in its service's list of waiting parts
    std::string token;
    std::string body;
    std::optional<target_reply> failure; ///< first reply of a target that ran it and failed

    /** @return whether it was sent to this process, which may have left the view and returned since */
    bool was_tried(const engine_target_pointer& target) const {
        return std::any_of(tried.begin(), tried.end(), [&](const engine_target_pointer& other) {
            return other->info.id == target->info.id && other->info.incarnation == target->info.incarnation;
        });
    }
};

/** A request that is being processed. Internal to the module. */
struct forwarding_run {
    forward_request request;
    sent_content_pointer content;
    std::shared_ptr<const route_table> table; ///< keeps selected_route valid
    const route* selected_route = nullptr;
    const team* holder = nullptr; ///< team that holds the caller's key, valid as long as the table
    bool needs_lease = false;     ///< sent only while this host can confirm the key
    bool is_withdrawn = false;    ///< nothing more of it may be sent
    std::uint32_t priority = 0;   ///< of the team or the route; 0 is the most urgent
    time_point arrived;
    request_times times;
    exchange_timing* timing = nullptr;
    std::vector<run_part> parts;
    std::size_t sent = 0;
    std::size_t not_run = 0; ///< exchanges that did not run according to their targets
    std::size_t lost = 0;    ///< exchanges whose connection was lost
    time_point wake_at = time_point::max();
    request_trace trace;
    bool ended = false;

    std::size_t count(part_progress progress) const;
    /** @return whether this number of parts reaches the least coverage of the route */
    bool covers_enough(std::size_t covered) const;
    /** @return whether an exchange is running or waiting for a connection */
    bool is_under_way() const;
    /** @return whether a target has run the request or may have run it */
    bool may_have_run() const { return sent > not_run; }
    /** @return time after which an exchange can't be in time: the objective, or the deadline once that has
     * passed */
    time_point latest_send(time_point now) const {
        return times.objective_at > now ? times.objective_at : times.answer_deadline;
    }
    /** @return name of the team that holds the caller's key; empty if none does */
    std::string team_name() const { return holder != nullptr ? holder->name : std::string{}; }
    bool merges() const { return selected_route->destination == route_destination::shards; }
};

} // namespace tamarack
