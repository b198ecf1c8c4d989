#pragma once

#include "../placement/placement.h"
#include "forwarding_core.h"
#include "locality_router.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace tamarack {

/**
 * Assigns exchanges to connections to targets, and keeps connections open in advance. Internal to the module.
 */
class part_dispatcher {
public:
    part_dispatcher(forwarding_core& core, locality_router& locality) : m_core(core), m_locality(locality) {}

    /** Sends an exchange for a part now. @return false if no suitable target has a free connection */
    bool try_send(forwarding_run& run, std::size_t part, trace_step step);
    /** @return the entry of a part in its service's list of waiting parts */
    waiting_part describe_wait(const forwarding_run& run, std::size_t part, trace_step step) const;
    /** Sends an exchange now, or as soon as a connection is free. */
    void send_or_wait(forwarding_run& run, std::size_t part, trace_step step);
    /** Sends the parts that wait for a service, as long as connections are free. */
    void serve_waiting(engine_service& service);
    /**
     * @return how long an exchange sent now would wait for a connection and at its target; std::nullopt if
     * every target is unavailable, ejected or stalled
     */
    std::optional<duration> expected_wait(const engine_service& service,
                                          const placement_demand& demand) const;
    /** @return time in which this host's share of the targets of a service completes one exchange */
    duration completion_interval(const engine_service& service, duration median_time) const;
    /** @return whether a target that has not been tried for this part may be sent an exchange by `latest` */
    bool has_untried(const run_part& part, time_point latest) const;
    /** @return whether a service has a target that may be sent exchanges, now or once a connection is free */
    bool has_available(const engine_service& service) const;
    /** @return whether only targets with a request limit in force keep a service available */
    bool is_limited(const engine_service& service) const;
    /** @return when a service has an available target: now, when a backoff ends or a request limit allows an
     * exchange, or std::nullopt if never */
    std::optional<time_point> available_at(const engine_service& service) const;
    /** @return the same for the targets that a part was not sent to */
    std::optional<time_point> available_at(const run_part& part) const;

    /** Defers the waiting exchange of a part while its request is suspected of crashing targets. */
    void defer(forwarding_run& run, run_part& part);
    /** Abandons an exchange; its reply is awaited for a short time, so that the connection can be reused. */
    void abandon(const running_exchange& abandoned);
    /** Makes a connection idle after its exchange has ended, or closes it. */
    void release(target_connection connection, engine_connection& held, bool keep);
    void close(target_connection connection);
    /** Removes a connection that is already closed. */
    void forget(target_connection connection);

    /** Opens connections to targets that have too few of them, or that have to be checked. */
    void keep_warm();
    /** Sets a timer for the parts that wait until a request limit allows an exchange. */
    void await_limits(const engine_service& service);
    /** Updates the backoff of a target after a connection to it, which is already removed, was lost. */
    void on_lost(const engine_connection& lost);

private:
    forwarding_core& m_core;
    locality_router& m_locality;
    placement_choice m_choice;

    /** @return how long a further waiting part waits until the request limits allow its exchange */
    duration wait_for_limits(const engine_service& service) const;
    /** @return whether a target that a part was not sent to has a free connection */
    static bool has_free_target(const run_part& part);
    void list_candidates(const run_part& part);
    placement_candidate describe(const engine_target& target) const;
    /** Sends an exchange to the best of m_choice. @return false if none of them has a usable connection */
    bool send_to_best(forwarding_run& run, std::size_t part, trace_step step, const placement_demand& demand);
    void send(forwarding_run& run, std::size_t part, trace_step step, const engine_target_pointer& target,
              target_connection connection);
    /**
     * Takes an idle connection for a request, but none that the target is about to close. A connection whose
     * last exchange had the same id is closed: a second reply to that exchange would pass for the next one's.
     *
     * @return 0 if there is none
     */
    target_connection take_idle(engine_target& target, const request_id& request);
    /** @param is_check  whether to find out if the target is reachable */
    bool may_open(const engine_target& target, bool is_check = false) const;
    void open(const engine_target_pointer& target);
    /** Opens a connection for a part. @param only_near  only to a target in this data centre */
    void open_for(const engine_service& service, const run_part& part, bool only_near);
};

} // namespace tamarack
