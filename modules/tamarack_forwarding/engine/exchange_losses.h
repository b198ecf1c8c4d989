#pragma once

#include "forwarding_core.h"

#include <vector>

namespace tamarack {

/** Hands what becomes of exchanges without a reply to the evidence, and tells what follows. Internal to the
 * module. */
class exchange_losses {
public:
    explicit exchange_losses(forwarding_core& core) : m_core(core) {}

    /** An exchange ended without a reply: its target is checked, unless another one has completed the
     * request. */
    void on_lost(const held_connection& held, loss_cause cause);
    /** A connection to a target could not be opened. */
    void on_unreachable(const forwarding_target& target);
    /** A target came under an address. */
    void on_target_announced(const forwarding_target& listed);
    /** A target completed a request of this content. */
    void on_completed(sent_content& content);
    /** Losses are due to be told to the other hosts. */
    void broadcast_due_losses();

private:
    void report_confirmed(const std::vector<crash_evidence::confirmed_loss>& losses);
    void schedule_reports();

    forwarding_core& m_core;
};

} // namespace tamarack
