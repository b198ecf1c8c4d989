#pragma once

#include "../placement/placement.h"
#include "forwarding_core.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace tamarack {

/**
 * Puts exchanges on connections to targets, and keeps connections open ahead of use. Internal to the module.
 */
class part_dispatcher {
public:
    explicit part_dispatcher(forwarding_core& core) : m_core(core) {}

    /** Sends an exchange for a part now. @return false when no target with a free connection is left for it
     */
    bool try_send(forwarding_run& run, std::size_t part, trace_step step);
    /** Sends an exchange now, or as soon as a connection is free. */
    void send_or_wait(forwarding_run& run, std::size_t part, trace_step step);
    /** Sends what waits for a service while connections are free. */
    void serve_waiting(known_service& service);
    /**
     * @return how long an exchange sent now would wait for a connection and at its target; nothing when every
     * target is ejected or paused
     */
    std::optional<duration> expected_wait(const known_service& service, const placement_demand& demand) const;
    /** @return whether an available target is left that has not been tried for this part */
    bool has_untried(const run_part& part) const;
    /** @return whether a service has a target that may be sent exchanges, now or when a connection is free */
    bool has_available(const known_service& service) const;
    /** @return when a service has an available target: now, when a rest ends, or nothing when all are gone */
    std::optional<time_point> available_at(const known_service& service) const;

    /** What waits for a part is not sent while its request is suspected of crashing targets. */
    void defer(forwarding_run& run, run_part& part);
    /** The exchange's reply is no longer wanted; it is awaited for a short time, so that the connection
     * stays. */
    void abandon(const running_exchange& abandoned);
    /** The connection's exchange has ended: it is idle again, or closed. */
    void release(target_connection connection, held_connection& held, bool keep);
    /** Closes a connection. */
    void close(target_connection connection);
    /** Forgets a connection that is closed already. */
    void forget(target_connection connection);

    /** Opens connections to targets that have too few. */
    void keep_warm();
    /** A connection could not be opened. */
    void on_open_failed(known_target& target);

private:
    forwarding_core& m_core;
    std::vector<known_target_pointer> m_eligible;
    std::vector<placement_candidate> m_candidates;

    void list_candidates(const run_part& part, bool include_tried);
    placement_candidate describe(const known_target& target) const;
    void send(forwarding_run& run, std::size_t part, trace_step step, const known_target_pointer& target,
              target_connection connection);
    /** Takes an idle connection that the target will not close at the same time. @return 0 when there is none
     */
    target_connection take_idle(known_target& target);
    bool may_open(const known_target& target) const;
    void open(const known_target_pointer& target);
    void open_for(const known_service& service, const run_part& part);
};

} // namespace tamarack
