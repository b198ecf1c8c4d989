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

/** What a connection to a target is doing. */
enum class connection_phase {
    opening,
    idle,
    busy,
    abandoned, ///< carries an exchange whose reply is no longer wanted
};

/** A connection to a target. */
struct held_connection {
    known_target_pointer target;
    connection_phase phase = connection_phase::opening;
    forward_number request = 0;
    std::size_t part = 0;
    time_point since;                                   ///< of the phase
    std::optional<duration> idle_limit;                 ///< as the target last said
    duration median_time{};                             ///< median time of such exchanges when it was sent
    std::vector<extra_exchange_charge_pointer> charges; ///< that its exchange may be the last one of
    sent_content_pointer content;                       ///< of its exchange
};

/** An exchange whose connection was closed before any reply: its target may read it yet. */
struct unread_exchange {
    target_id target;
    time_point until; ///< a target that reads nothing until then is taken for lost
    std::vector<extra_exchange_charge_pointer> charges;
};

/** What is due at a time. */
enum class due_kind {
    request,       ///< a request's next look
    connection,    ///< the end of waiting for an unwanted reply
    warming,       ///< connections may be opened again
    extra_load,    ///< extra load is to be told
    crash_reports, ///< losses are to be told to other hosts
};

struct due_item {
    time_point at;
    due_kind kind = due_kind::request;
    std::uint64_t number = 0;
};

struct due_later {
    bool operator()(const due_item& left, const due_item& right) const { return left.at > right.at; }
};

/** State that the engine's parts share. Internal to the module. */
struct forwarding_core {
    forwarding_options options;
    random_source random;
    time_point now{};
    forwarding_actions actions;
    forwarding_view_pointer view;
    time_point lease_ends_at{}; ///< until then this host is in touch with the control hosts
    std::optional<route_index> index;
    split_balancer splits;
    std::map<service_id, known_service_pointer> services;
    std::map<service_id, std::shared_ptr<extra_budget>> budgets;   ///< also of services that left the routes
    std::unordered_map<std::string, known_target_pointer> targets; ///< by id
    std::unordered_map<target_connection, held_connection> connections;
    std::vector<unread_exchange> unread; ///< of those with charges
    std::unordered_map<forward_number, std::unique_ptr<forwarding_run>> runs;
    std::vector<std::unique_ptr<forwarding_run>> ended; ///< kept until the end of the event
    std::map<std::string, exchange_timing> timings;     ///< by route
    crash_evidence crashes;
    time_point crash_reports_at =
        time_point::max();                      ///< the time for which the timer of losses to tell is set
    std::set<forward_number> deferred_requests; ///< requests with deferred parts
    withheld_targets withheld;
    std::priority_queue<due_item, std::vector<due_item>, due_later> due;
    bool extra_load_scheduled = false; ///< a due item for it is scheduled
    /** Until extra load is told; grows to a window, so that a process that soon ends has told some. */
    duration extra_load_report_delay = 1s;
    std::size_t opening = 0;
    time_point warming_at = time_point::max(); ///< the time for which keep_warm has set its timer
    target_connection last_connection = 0;
    duration lag{}; ///< of the event loop, when a timer last fired late
    time_point lag_at{};
    forwarding_statistics counted;

    forwarding_core(forwarding_options wanted, random_source source);

    /** @return the request, or nullptr when it has ended */
    forwarding_run* find_run(forward_number number);
    /** A timer fired late by this much. */
    void observe_lag(duration behind);
    /** @return how far the event loop is behind; fades when no timer fires, so that a refusing host recovers
     */
    duration current_lag() const;
    /** Looks at a request again at this time, or earlier. */
    void wake(forwarding_run& run, time_point at);
    void schedule(time_point at, due_kind kind, std::uint64_t number);
    /** @return the part of the allowance for extra load that this host may spend now */
    double allowance_now() const;
    /** @return connections that this host may have to a target */
    std::size_t connections_allowed(const known_target& target) const;
    /** @return what is known of requests like this one: whether they crash targets */
    crash_verdict judge(const forwarding_run& run) const;
    /** A request is not repeated, or not sent, because of the evidence against its content. */
    void report_crash_step(crash_step step, const forwarding_run& run);
    exchange_timing& timing_of(const route& selected);
    /** @return the service that a usable target serves, or nullptr */
    known_service_pointer service_of(const known_target& target) const;
    void trace(forwarding_run& run, trace_step step, const service_id& service, const known_target* target,
               std::string result = {}, std::size_t candidates = 0) const;
    /** @return the record of a service's extra load, a new one when there is none */
    std::shared_ptr<extra_budget> budget_of(const service_id& service);
    /** An exchange ends without a reply, by a close from this side: its charges stay open. */
    void hold_charges_open(held_connection& held);
    /** A target has replied: it has read all that was sent to it before. */
    void close_charges(const target_id& target);
    /** Forgets the records of services that left the routes a window ago. */
    void drop_idle_budgets();
    /** A repeat was charged or refused: the service's extra load is told after a while. */
    void schedule_extra_load_report();
    /** Tells it, and closes the charges of exchanges that are taken for lost. */
    void report_extra_load();
    void report_target_change(target_change change, const known_target& target);
};

} // namespace tamarack
