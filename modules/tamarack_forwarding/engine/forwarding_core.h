#pragma once

#include "../crashes/crash_evidence.h"
#include "../routes/route_index.h"
#include "../routes/split_balancer.h"
#include "../withheld/withheld_targets.h"
#include "forwarding_actions.h"
#include "forwarding_options.h"
#include "forwarding_run.h"
#include "forwarding_statistics.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** State of a connection to a target. */
enum class connection_phase {
    opening,
    idle,
    busy,
    abandoned, ///< carries an exchange whose reply is no longer needed
};

/** A connection to a target. */
struct engine_connection {
    engine_target_pointer target;
    connection_phase phase = connection_phase::opening;
    forward_number request = 0;
    std::size_t part = 0;
    std::size_t last_request_hash = 0;  ///< of the id of its latest exchange's request
    time_point since;                   ///< start of the phase
    time_point opened_at{};             ///< when it was connected
    bool has_replied = false;           ///< whether the target has replied on it
    std::optional<duration> idle_limit; ///< as the target last stated
    duration median_time{};             ///< of the route's exchanges, when its exchange was sent
    duration late_after{};              ///< running time after which its exchange is late
    std::vector<extra_exchange_charge_pointer> charges; ///< that its exchange keeps open
    sent_content_pointer content;                       ///< of its exchange
};

/** An exchange whose connection was closed before a reply arrived; its target may still read the exchange. */
struct unread_exchange {
    target_id target;
    time_point until; ///< after this, the exchange is considered lost
    std::vector<extra_exchange_charge_pointer> charges;
};

/** Kind of a scheduled item. */
enum class due_kind {
    request,       ///< the next review of a request
    connection,    ///< the timeout of an abandoned reply
    warming,       ///< connections may be opened again, or a backoff has ended
    extra_load,    ///< extra load is to be reported
    limits,        ///< a request limit allows another exchange
    limit_reports, ///< the targets with a request limit are to be reported
    crash_reports, ///< losses are to be reported to other hosts
    lease,         ///< the lease stops confirming keys
    warmup,        ///< a cold target becomes warm
    team_limits,   ///< the use of limited teams is to be reported, or a request has waited for a token
};

struct due_item {
    time_point at;
    due_kind kind = due_kind::request;
    std::uint64_t number = 0;
};

struct due_later {
    bool operator()(const due_item& left, const due_item& right) const { return left.at > right.at; }
};

/** State shared by the engine's parts. Internal to the module. */
struct forwarding_core {
    forwarding_options options;
    random_source random;
    time_point now{};
    forwarding_actions actions;
    forwarding_view_pointer view;
    /** End of this host's lease from the control hosts, by a clock that includes suspensions. */
    time_point lease_ends_at{};
    duration suspended{};        ///< total time for which the machine was suspended
    bool held_key_lease = false; ///< as of the last event
    std::uint64_t key_seed;
    std::optional<route_index> index;
    std::optional<team_index> teams; ///< of the same table as the index
    split_balancer splits;
    std::map<service_id, engine_service_pointer> services;
    std::map<service_id, std::shared_ptr<extra_budget>>
        budgets; ///< including services that have left the routes
    std::unordered_map<std::string, engine_target_pointer> targets; ///< by id
    std::unordered_map<target_connection, engine_connection> connections;
    std::vector<unread_exchange> unread; ///< exchanges whose charges are still open
    std::unordered_map<forward_number, std::unique_ptr<forwarding_run>> runs;
    std::vector<std::unique_ptr<forwarding_run>> ended; ///< kept alive until the end of the event
    std::map<std::string, exchange_timing> timings;     ///< by route
    crash_evidence crashes;
    /** Time for which the timer of the crash reports is set. */
    time_point crash_reports_at = time_point::max();
    std::set<forward_number> deferred_requests; ///< requests with deferred parts
    withheld_targets withheld;
    std::priority_queue<due_item, std::vector<due_item>, due_later> due;
    bool extra_load_scheduled = false; ///< a due item for it is scheduled
    /** Delay of the extra-load report; short at first for short-lived processes, and grows to a window. */
    duration extra_load_report_delay = 1s;
    time_point limits_at = time_point::max(); ///< time for which await_limits has set its timer
    std::size_t opening = 0;
    time_point warming_at = time_point::max(); ///< time for which keep_warm has set its timer
    target_connection last_connection = 0;
    duration lag{}; ///< of the event loop, at lag_at
    time_point lag_at{};
    forwarding_statistics statistics;

    forwarding_core(forwarding_options wanted, random_source source);

    /** @return the request, or nullptr if it has ended */
    forwarding_run* find_run(forward_number number);
    /** Records that a timer fired late by `behind`. */
    void observe_lag(duration behind);
    /** @return lag of the event loop; decays without timers, so that a host that refuses requests recovers */
    duration current_lag() const;
    /** Schedules a review of a request at this time, unless an earlier one is scheduled. */
    void wake(forwarding_run& run, time_point at);
    void schedule(time_point at, due_kind kind, std::uint64_t number);
    /** @return whether a mechanism is in use */
    bool uses(forwarding_mechanism mechanism) const { return options.mechanisms.has(mechanism); }
    /** @return whether this host's lease is valid */
    bool holds_lease() const { return now + suspended < lease_ends_at; }
    /** @return whether this host can confirm that no later ticket removes a key that it knows */
    bool holds_key_lease() const { return now + suspended + options.key_lease_margin < lease_ends_at; }
    /** @return whether exchanges of a request may be sent */
    bool may_send(const forwarding_run& run) const {
        return !run.is_withdrawn && (!run.needs_lease || holds_key_lease());
    }
    /** @return the part of the allowance for extra load that this host may spend now */
    double allowance_now() const;
    /** @return number of connections that this host may have to a target */
    std::size_t connections_allowed(const engine_target& target) const;
    /** @return the assessment of whether requests of this content crash targets */
    crash_verdict judge(const forwarding_run& run) const;
    /** Reports that a request is not retried, hedged or sent because of the evidence against its content. */
    void report_crash_step(crash_step step, const forwarding_run& run);
    exchange_timing& timing_of(const route& selected);
    /** @return the service of a target, or nullptr if it has left the routes */
    engine_service_pointer service_of(const engine_target& target) const;
    void trace(forwarding_run& run, trace_step step, const service_id& service, const engine_target* target,
               std::string result = {}, std::size_t candidates = 0, target_connection connection = 0) const;
    /** @return the budget of a service, created if there is none */
    std::shared_ptr<extra_budget> budget_of(const service_id& service);
    /** Keeps open the charges of an exchange that this host ends without a reply. */
    void hold_charges_open(engine_connection& held);
    /** Closes charges after a target's reply, as it has read everything that was sent to it before. */
    void close_charges(const target_id& target);
    /** Removes the budgets of services that are not in the routes and were idle for a window. */
    void drop_idle_budgets();
    /** Schedules a report of the extra load, after an extra exchange was charged or refused. */
    void schedule_extra_load_report();
    /** Reports the extra load, and closes the charges of exchanges that are considered lost. */
    void report_extra_load();
    void report_target_change(target_change change, const engine_target& target);
};

} // namespace tamarack
