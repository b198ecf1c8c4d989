#pragma once

#include "forwarding_core.h"

#include "../limits/limit_share.h"

namespace tamarack {

/**
 * Keeps the request limits of all targets and this host's shares of them up to date, and reports them to the
 * log and to the other hosts.
 *
 * Internal to the module.
 */
class limit_tracker {
public:
    explicit limit_tracker(forwarding_core& core) : m_core(core) {}

    /** Restores what is known about a target that was added to the view. */
    void on_added(engine_target& target);
    /** Saves what is known about a target that leaves the view. */
    void on_removed(const engine_target& target);
    /** Updates whether a target is cold and this host's share of its limit, after a change of the view or of
     * the limit. */
    void update_share(engine_target& target);
    /** @param sent_at  when the exchange was sent */
    void on_reply(engine_target& target, time_point sent_at, const target_reply& reply);
    /**
     * Handles another host's report.
     *
     * @return the target, if the report changes what is known about a target in the view; otherwise nullptr
     */
    engine_target_pointer on_report(const target_incarnation& named, const limit_statement& statement);
    /** Ends the limits of targets whose warm-up has ended. */
    void end_warmups();
    /** Reports the targets that were used or passed over while their limit was in force. */
    void report_in_force();

private:
    void update_cold(engine_target& target);
    request_limit known_limit(const target_incarnation& target) const;
    void report(limit_step step, engine_target& target);
    void schedule_reports();

    forwarding_core& m_core;
    bool m_reports_scheduled = false;
};

} // namespace tamarack
