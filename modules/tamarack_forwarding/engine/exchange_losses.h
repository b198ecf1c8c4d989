#pragma once

#include "forwarding_core.h"

#include <vector>

namespace tamarack {

/**
 * Passes exchanges that ended without a reply to crash_evidence and reports the results.
 *
 * Internal to the module.
 */
class exchange_losses {
public:
    explicit exchange_losses(forwarding_core& core) : m_core(core) {}

    /**
     * An exchange ended without a reply: its target is checked, unless another target has completed the
     * request.
     */
    void on_lost(const engine_connection& held, loss_cause cause);
    /** A connection to a target could not be opened. */
    void on_unreachable(const forwarding_target& target);
    /** A target was added to the view. */
    void on_target_announced(const forwarding_target& listed);
    /** A target completed a request of this content. */
    void on_completed(sent_content& content);
    /** Reports the losses that are due to the other hosts. */
    void broadcast_due_losses();

private:
    void report_confirmed(const std::vector<crash_evidence::confirmed_loss>& losses);
    void schedule_reports();

    forwarding_core& m_core;
};

} // namespace tamarack
